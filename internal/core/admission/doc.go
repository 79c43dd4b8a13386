// Package admission is the owner side of scheduling. An Owner alone decides
// which requests may be dispatched to the endpoints that it owns: it queues
// reservations by tier, grants slots, preempts work of lower tiers, and refuses
// reservations.
//
// # Usage
//
// Call the method of an Owner for one message or event at a time (SetEndpoints,
// HandleReservation, HandleRelease, HandleWithdraw, HandleHeldSlots,
// HandleLoadReport, HandleCacheEvent, EntryLost, ...), call Tick at least every
// TickInterval, and then collect the messages to send with Ready. Every method
// that processes a message or event takes the current time, which must not go
// backwards. An Owner does no I/O, starts no goroutine, and is not safe for
// concurrent use. It is deterministic: the same messages at the same times give
// the same results.
//
// # Contract
//
//   - The Owner answers a reservation with exactly one Grant or Refusal, unless
//     the reservation is withdrawn, or its entry instance is lost.
//     A grant is repeated when its reservation is received again.
//   - A reservation with NoWait may still be held for a while: until a slot that
//     is being preempted for it is released, or for the engine that has its
//     prompt in cache. An entry that no longer wants the slot withdraws the
//     reservation.
//   - A granted slot stays occupied until its Release, also after a Preemption.
//     An entry answers a Preemption with a Release, which has Paused set if the
//     stream is paused on the engine; the Owner keeps a paused stream until the
//     final Release or the withdrawal for it. To resume the stream, the entry sends
//     another reservation with Resume set.
//   - A Refusal with a Floor at or above the work's tier guarantees that nothing
//     below that tier runs on any endpoint of this Owner that could serve the
//     work, and that nothing below it is granted a slot there for FloorFor. A
//     Refusal with a Floor below the work's tier guarantees nothing for the
//     work: the entry tries other owners, and this owner again later.
//   - Non-idempotent work and work on plain services is never preempted.
package admission
