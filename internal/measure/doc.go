// Package measure runs the workloads of deployments against the decision core and
// against baseline policies, under a virtual clock and with fixed seeds. It reports
// goodput by tier, wasted prefill, latencies and refusals.
//
// It compares scheduling policies and does not simulate a real cluster: entries and
// owners exchange the core's messages in one process with a small fixed delay, and
// the engine is a small fake with continuous batching, a bounded prefix cache and no
// priorities. Every policy gets the same arrivals.
package measure
