// Package model simulates an inference engine with continuous batching as a pure state machine: it
// has no I/O, no clock and no goroutines. Package engine drives it by the wall clock, tests and
// measurements by a virtual one.
//
// # Contract
//
// Every method takes the current time, which must not decrease. Submit, Pause, Resume and Cancel
// take effect at once. Advance runs all iterations that end by the given time and returns the
// events since its last call, in order. Next returns the end of the running iteration, so that a
// driver can sleep until then.
//
// # What is modelled
//
// The engine works in iterations. Each iteration produces one token for every stream in decode and
// spends up to PrefillChunk prompt tokens on streams in prefill, in the order of their admission.
// Its duration is the time for these prompt tokens plus one decode step, which grows with the
// number of streams that decode.
//
// Requests are admitted in the order of their arrival, without priorities, up to MaxRunning
// streams and as long as prompt and longest answer fit the KV memory; the head of the queue blocks
// those behind it. Memory that no stream holds keeps prompt blocks as prefix cache, with least
// recently used blocks evicted first. A paused stream keeps its KV cache until a waiting request
// needs the memory. Then the stream that was paused first loses its KV cache, and prefills again
// when it is resumed.
//
// Load reports are delayed by LoadLag. Cache events are delayed as well, and some are lost.
package model
