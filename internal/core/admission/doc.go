// Package admission is the owner side of scheduling. An Owner decides alone
// who may dispatch to the endpoints it owns: it queues reservations by tier,
// grants slots, takes slots back from lower tiers, and refuses.
//
// # Usage
//
// Step the Owner with one message at a time (SetEndpoints, Reserve, Release,
// Cancel, Drop, Report, CacheEvents, Hold) and with Tick at least every
// TickInterval, then collect what is to be sent with Ready. Every message
// takes the present time, which must not go backwards. An Owner does no I/O,
// starts no goroutine, and is not safe for concurrent use. The same messages
// at the same times give the same results.
//
// # Contract
//
//   - A reservation is answered by exactly one Grant or Refusal, unless it is
//     cancelled or its entry instance is dropped. A reservation sent again is
//     answered again.
//   - A reservation with NoWait may still stay a while: for a slot that is being
//     taken back for it, or for the engine that holds its prompt. An entry that
//     gives up sends Cancel.
//   - A granted slot stays taken until its Release, also after a Preemption.
//     An entry answers a Preemption with a Release, Paused where the stream
//     waits on the engine; the owner forgets a paused stream after the final
//     Release or Cancel for it. To resume, the entry reserves again with
//     Resume set.
//   - A Refusal with Floor at or above the work's tier proves that nothing
//     below that tier runs on any endpoint here that could serve the work, and
//     promises that nothing below it is granted there for FloorFor. A Refusal
//     with a Floor below the work's tier proves nothing for the work: the
//     entry asks elsewhere, and later here again.
//   - Work that is not idempotent and work on plain services is never
//     preempted.
package admission
