// Package concurrency finds out how many requests an endpoint takes well, and what the figure is
// worth that it states about its own slowdown.
//
// # Problem
//
// Endpoints state how many requests they run at a time, but some slow down long before that
// many run, and some share their hardware with others, so that it changes by the second how
// much they take. It is designed for endpoints that are given more work than they do well.
//
// # Terms
//
//   - The size of a run is the time that it would take a reference endpoint. Times are compared
//     per size, so that a long request isn't taken for a slow endpoint.
//   - The throughput at a number of runs is that number divided by their time per size.
//   - A trial lowers or raises the limit for as many runs as show a change of the throughput.
//   - A sign is an observation by which an endpoint may slow down before its slots are full.
//   - The slowdown is how long work takes at an endpoint, relative to its own mean.
//
// # Contract
//
//   - The limit is at least 1 and at most the number of slots. Without a sign, it is the number
//     of slots.
//   - A limit is lowered or raised by a trial, and kept only if the throughput in the trial
//     justified it.
//   - Failed runs must not be recorded: they say nothing about the time of an answer.
//   - A stated slowdown is used only while it predicts the endpoint's own times better than its
//     mean does, and never changes an expected time by more than MaxRatio.
//
// A Limiter and a Slowdown hold the state of one endpoint since its last start. They have no
// I/O, clock or goroutine and aren't safe for concurrent use.
package concurrency
