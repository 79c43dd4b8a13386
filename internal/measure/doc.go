// Package measure replays deployments against the decision core and against
// baseline policies, under a virtual clock and with fixed seeds, and reports
// goodput by tier, wasted prefill, latencies and refusals.
//
// It is a measuring program, not a simulation of a cluster: entries and owners
// exchange the core's messages with a small fixed delay in one process, and
// the engine is a small fake with continuous batching, a bounded prefix cache
// and no priorities. Every policy sees the same arrivals.
package measure
