// Package request is the entry side of scheduling: the table of requests whose
// callers are connected to this instance, from arrival to the final answer.
//
// # Problem
//
// A request must be dispatched to an endpoint at most once, and its caller must
// get a correct verdict whichever process fails meanwhile. Both hold because a
// single process decides: only the entry instance can take the one irrevocable
// step, the Dispatch directive.
//
// # Terms
//
// An owner is the instance that admits work to an endpoint. A reservation asks
// an owner for a slot; its grant allows the dispatch; a refusal guarantees
// which tiers the owner does not serve meanwhile (see package admission).
//
// # Usage
//
// Entry has no clock, I/O or goroutine, and is not safe for concurrent use. Call
// the method for each event (Arrive, Claimed, HandleGrant, HandleRefusal, ...)
// and call Tick regularly, each with the current time; then take the batch from
// Ready and carry it out in order.
//
// # Invariants
//
//   - At most one Dispatch directive is issued per request. Another one follows
//     only if the end of the previous dispatch was reported with verdict
//     "not run".
//   - After a Dispatch, the only further steps of a request are pause, resume on
//     the same endpoint, cancellation and its end.
//   - Exactly one Finish directive is issued per request.
//   - A request is finished with reason "overload" only if Router.MayShed
//     allowed it at that moment.
package request
