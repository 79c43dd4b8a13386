// Package request is the entry side of the system: the table of requests whose
// callers are connected to this instance, from arrival to the final answer.
//
// # Problem
//
// A request must be dispatched to an endpoint at most once, and its caller must
// learn the truth about it whatever dies meanwhile. Both hold because a single
// process decides: the entry instance takes the one irrevocable step (the
// Dispatch directive) and nobody else can take it.
//
// # Terms
//
// An owner is the instance that admits work to an endpoint. A reservation asks
// an owner for a slot; its grant allows the dispatch; a refusal is a promise
// about what else the owner serves (see package admission).
//
// # Usage
//
// Entry has no clock, I/O or goroutine. Step it by the methods named after what
// happened (Arrive, Claimed, Granted, Refused, ...) and by Tick, each with the
// current time, then take the batch from Ready and carry it out in order.
//
// # Invariants
//
//   - At most one Dispatch directive leaves per request, but for the case that
//     the dispatch was reported with verdict "not run".
//   - After a Dispatch the request only moves on by pause, resume on the same
//     endpoint, cancel or its end.
//   - Exactly one Finish directive leaves per request.
//   - A request is finished with reason "overload" only when Router.MayShed
//     allowed it at that moment.
package request
