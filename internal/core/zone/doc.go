// Package zone synchronises the state of the instances of an availability zone.
// One of them, the coordinator, reads the store for all.
//
// # Problem
//
// Calls to the store have a cost and are limited for the whole deployment, so
// their number must grow with the number of zones and not of instances. Yet a
// configuration must be in force everywhere within seconds, a revoked key must
// stop working also where the store is unreachable, and the limits of
// organisations apply over all instances.
//
// # Design
//
// Each member sends the coordinator a Report a few times per second and receives
// a Bulletin in response: the configuration if the member's is older, the changes
// to the endpoints since the member's table, the accounts of the organisations,
// and the age of the proof that the configuration is the newest. Coordinators of
// different zones exchange all of this except the endpoints. A bulletin carries
// the sequence number of the report that it answers, so its content is newer than
// that report: the age of the proof is counted from the time at which the report
// was sent, and clocks need not agree.
//
// A member that receives no bulletin for BulletinTimeout plus a delay of its own
// reads the store itself. A coordinator that the store refuses while it answers
// others should give up the role: see RefusedByStore.
//
// Nobody relies on one teller for news. All messages carry the newest version of the
// configuration that their sender knows of, and an instance that lacks it for a while
// without progress reads the store itself, as does a member whose proofs are old although
// its coordinator reads discovery: see ReadReason. A position in the store is passed on
// only with the configuration that was read up to it.
//
// # Contract
//
// A Core does no I/O, reads no clock, starts no goroutine and is not safe for
// concurrent use. Two concurrent coordinators cost additional calls to the store,
// but break no guarantee.
package zone
