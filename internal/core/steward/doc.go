// Package steward holds the two jobs that one instance at a time does for
// others, each under a lease on the log: the orders to the engines of its
// availability zone (which models they load), and the snapshots of the
// configuration stream.
//
// # Usage
//
// A Steward has no I/O, no clock and no goroutine. Step it by SetView,
// SetState, SetSizes, Report, TakeDemand, AppendResult, Read and Tick, then
// carry out what Ready hands out. Orders are sent with the fencing number that
// MayOrder returns right before each is written.
//
// # Candidates
//
// Only a few instances per lease take part, chosen by rendezvous hash over the
// live members, so that neither the log's readers nor its appends grow with
// the fleet. Views that differ add a candidate; the log decides who holds.
package steward
