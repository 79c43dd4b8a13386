// Package load sends requests to the callers' interface as an open-loop load generator, for tests
// and measurements, and reports goodput and latencies by tier.
//
// The plan of a run is drawn from a seed before the first request is sent: arrivals with
// exponential gaps, a mix of profiles, heavy-tailed lengths, and prompts that share prefixes. The
// same seed gives the same plan. Each request is sent when it is due, whether or not earlier ones
// have been answered, and is never retried.
package load
