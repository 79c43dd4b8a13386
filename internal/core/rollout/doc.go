// Package rollout moves the requests of a pool to a new software version step by step, and back
// if that version is bad.
//
// # Problem
//
// An operator orders that a pool's requests move to endpoints of a version, which run beside the
// old ones, within a time. The version may be bad: a part of its answers are failures, or come
// several times slower, at once or later, under load or on one route only. Until that is known
// it must get few requests, and once it is known none. Hundreds of instances send requests, and
// none of them sees enough to judge.
//
// # Terms
//
//   - An order names a pool, a target version and a time.
//   - A word states what is to be done about the last order of a pool: its state, and the share of
//     requests that goes to the target.
//   - The decider is the one instance that forms words. Tables of all instances merge them.
//   - Evidence is the counts of answers by route, version and class of time.
//
// # Contract
//
//   - Merging is commutative: instances that have received the same words hold the same.
//   - A state never goes back: running, then done or rolled back, which is final.
//   - An instance sends a new request to the target of a running order only within the share of a
//     word no older than FreshFor, unless no endpoint of another version serves.
//   - Endpoints of a version that joins others in a pool get no new requests until the orders have
//     been read since it appeared, unless no other version serves.
//   - A share grows only by the decider, and only while the evidence allows.
//   - A good version is rolled back with a probability below falseRollback if answers are
//     independent, see judge.go.
//
// A package of pure decisions: no I/O, clock, goroutine or random source. Its types aren't safe
// for concurrent use. Times without a date are on the clock since boot.
package rollout
