// Package quota holds the rate limits of organisations over all instances
// without a message per request.
//
// # Problem
//
// An organisation may send so much a second and so much at once, wherever its
// callers connect. Requests must be admitted at once, instances are cut off
// from each other, and what an instance may use when it is must not add up to
// more than the limit. The load that this answers is an organisation that
// sends many times its usual.
//
// # How
//
// Each instance has a Meter that admits requests. It reports what it has
// admitted to the coordinator of its zone, whose Ledger keeps one bucket per
// organisation, fed by the members of the zone and by what the coordinators of
// other zones report. The coordinator tells the members how full the bucket
// is. A Meter spends what it was told, by its share of recent use, until it is told
// again; so the overshoot is bounded by what is used within one exchange.
//
// # Cut off
//
// Whoever does not report any more is taken to use as much as before. The side
// that reaches most instances deducts that from the limit; a side that does not
// uses no more than it did before. The two together stay within the limit.
//
// Nothing here has I/O, a clock or a goroutine, or is safe for concurrent use.
package quota
