// Package steward carries out the two jobs that a single instance at a time does
// for others, each under a lease on the log: sending the orders that tell the
// engines of its availability zone which models to load, and appending snapshots
// of the configuration stream.
//
// # Usage
//
// A Steward has no I/O, no clock and no goroutine. Step it with SetView,
// SetState, SetWeightSize, HandleReport, ForwardReport, HandleDemand,
// SetLocalDemand, HandleAppendResult, HandleReadResult and Tick, then carry out
// what Ready returns. Each order is sent with the fencing number that MaySendOrder
// returns right before it is written.
//
// # Candidates
//
// Only CandidatesPerLease instances compete for a lease. They are chosen by
// rendezvous hash over the live members, so that the number of readers and
// appends of the log does not grow with the fleet. Instances whose views of the
// members differ may add a candidate, which is harmless: the log decides who
// holds the lease.
package steward
