// Package model is an inference engine with continuous batching, as a pure
// state machine: no I/O, no clock, no goroutine. The stand-in engine drives it
// by the wall clock, tests and measurements by a virtual one.
//
// # Contract
//
// Every method takes the time, which must not go back. Submit, Pause, Resume
// and Cancel take effect at once; Advance(now) runs all iterations that end by
// now and returns what happened since the last call, in order. Next says when
// the running iteration ends, so that a driver can sleep until then.
//
// # What is modelled
//
// The engine works in iterations. Each one gives a token to every stream that
// decodes and spends up to PrefillChunk prompt tokens on streams in prefill, in
// the order of their admission. It takes the time of these prompt tokens plus one
// decode step, which grows with the number of streams in it.
//
// Requests are admitted in the order of their arrival, without priorities, up
// to MaxRunning streams and as long as prompt and longest answer fit the KV
// memory; the head of the queue blocks those behind it. Memory that no stream
// holds keeps prompt blocks as prefix cache, dropped by recency. A paused
// stream keeps its KV cache until a waiting request needs the memory; then the
// stream that was paused first loses it and prefills again on resumption.
//
// Load reports lag; cache events come late, and some never.
package model
