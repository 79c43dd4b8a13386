// Package reserve is the entry's side of granting slots: for each request it
// tracks which broker was asked, passes the broker's decision to the request's
// goroutine, and continues without a broker that is unresponsive.
//
// # Problem
//
// The broker of a pool may be killed, frozen, slow or partitioned at any moment,
// and a request has a few hundred milliseconds in all. A broker that does not
// acknowledge a slot request within AckTimeout counts as unresponsive for
// UnresponsiveFor. Slot requests then go to the local broker, which uses only
// this instance's share of each engine's slots.
//
// # Contract
//
//   - Each RequestSlot leads to exactly one Decision, unless it is withdrawn.
//   - A grant that arrives after the slot request was sent to another broker is
//     withdrawn.
//   - The broker of a pool gets a report of each request that runs on the pool's
//     engines without its grant.
//
// An Entry has no I/O, clock or goroutine and isn't safe for concurrent use.
package reserve
