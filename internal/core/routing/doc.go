// Package routing decides which owner an entry instance asks for a slot, and when
// it may shed a request.
//
// # Usage
//
// Set the endpoints of every pool with SetPool. For each request call Next with
// the choices tried so far, send a reservation to the choice's owner, and report
// the outcome to the Router: Granted, Refused or Unreachable, and Finished once
// the request has ended. When Next has no more choices, call MayShed: if it
// returns true, the request may be refused for overload; if not, start again
// with no choices tried, after RetryInterval.
//
//	for {
//		choice, ok := r.Next(now, work, tried)
//		if !ok && r.MayShed(now, work, tried) { shed }
//		if !ok { wait RetryInterval; tried = nil; continue }
//		reserve with choice.NoWait at choice.Owner ...
//		tried = append(tried, choice)
//	}
//
// When an owner refuses, set Refused on its choices in tried, and Infeasible if
// the refusal is: Next and MayShed depend on both. When starting again, keep the
// choice that still waits in a queue and those that are infeasible.
//
// While a request waits in an owner's queue, the entry may ask other owners for
// a slot: it calls Next with the choices so far and sends a reservation to what
// Next returns, without giving up the position in the queue. The first grant
// counts. Others are released unused, and the position in the queue is
// cancelled.
//
// # Contract
//
// Candidates are ordered by weighted rendezvous hashing on the first blocks of
// the prompt (its head), with bounded load, so that prompts with the same head
// go to the same engine, which is likely to have the head cached. In a pool of
// more than Settings.ShortlistSize endpoints, up to that many of the local zone
// are ranked first, chosen by the same head. The whole pool is ranked only when
// none of those is left to ask. MayShed returns true only while guarantees at or
// above the request's tier are in force from every owner of the pool, reachable
// or not, each for exactly the endpoints that the Router knows the owner to own,
// or if every owner has refused the request as infeasible.
//
// The package does no I/O and is not safe for concurrent use.
package routing
