// Package quota enforces the rate limits of organisations over all instances
// without a message per request.
//
// # Problem
//
// An organisation has a rate and a burst, wherever its callers connect. Requests
// must be admitted without delay, and instances may be partitioned from each
// other; what partitioned instances admit must not add up to more than the limit.
// The design case is an organisation that sends many times its usual load.
//
// # Design
//
// Each instance has a Meter that admits requests. It reports what it has admitted
// to the coordinator of its zone, whose Ledger keeps one token bucket per
// organisation. The ledger is charged with the reports of the zone's members and
// of the coordinators of other zones, and sends the bucket levels back to the
// members. A Meter spends from its copy of the level until the next update; if
// that is overdue, it spends no more than its share of recent use. The overshoot
// is therefore bounded by what is used within one exchange.
//
// # Partitions
//
// A member or zone that no longer reports is assumed to use as much as before.
// The side that reaches the majority of instances deducts that use from the
// limit; a minority side uses no more than it did before. Together the two stay
// within the limit.
//
// # Windows
//
// A limit may be judged over a window. Its bucket then refills faster than the rate, and
// holds no more than the room of the window: what the limit grants there, less what was
// used. Members learn the use from the accounts, so that a new coordinator knows it. While
// a part of the use is unknown, the limit grants its rate and burst only.
//
// # Starts
//
// All instances may restart at once. For seconds each then knows a few others only, and
// there are many coordinators. In its first startPeriod an instance therefore takes the
// registered instances that it has not heard of for instances with ledgers of their own:
// a ledger refills the share of the limit that belongs to the instances whose use it
// counts, and a Meter that awaits its first accounts the share of one instance. A zone
// that a ledger then hears of for the first time has used its own share, which is not
// charged again.
//
// Nothing in this package does I/O, reads a clock, starts a goroutine or is safe
// for concurrent use.
package quota
