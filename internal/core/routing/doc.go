// Package routing is the entry side of scheduling: it decides which owner an
// entry instance asks for a slot, and when it may shed a request.
//
// # Usage
//
// Tell the Router of every pool with SetPool. For each request call Next with
// the choices tried so far, send the reservation to the choice's owner, and
// tell the Router how it went: Granted, Refused, Unreachable, and Finished
// once the request is over. When Next has no more choice, ask MayShed: if it
// says yes, the request may be refused for overload; if not, start again with
// nothing tried, after RetryInterval.
//
//	for {
//		choice, ok := r.Next(now, work, tried)
//		if !ok && r.MayShed(now, work, tried) { shed }
//		if !ok { wait RetryInterval; tried = nil; continue }
//		reserve with choice.NoWait at choice.Owner ...
//		tried = append(tried, choice)
//	}
//
// When an owner refuses, set Refused on its choices in tried, and Infeasible
// where the refusal says so: Next and MayShed go by them. When starting again,
// keep the choice that still waits in a queue and those that are infeasible.
//
// A request that waits in an owner's queue may look for room elsewhere all
// the while: call Next with its choices so far, and send what it returns
// without giving up the place in the queue. The first grant counts; others
// are released unused, and the place in the queue is cancelled.
//
// # Contract
//
// Candidates are ordered by weighted rendezvous hashing on the head of the
// prompt, so that prompts with the same head meet on the same engine, with
// bounded load. In a pool of more than Settings.Shortlist endpoints, as many
// from the entry's own zone are ranked first, chosen by the same head, and the
// whole pool only where none of those is left to ask. MayShed is true only
// while unexpired promises at or above the request's tier are held from every
// owner of the pool, reachable or not, each for the very
// endpoints that the Router knows to be that owner's.
//
// The package is pure and not safe for concurrent use.
package routing
