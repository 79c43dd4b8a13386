// Package load sends requests to the callers' interface in an open loop, for
// tests and measurements, and reports goodput and latencies by tier.
//
// A plan is drawn from a seed before the first request is sent: arrivals with
// exponential gaps, over a mix of profiles, with heavy-tailed lengths and prompts
// that share prefixes. The same seed gives the same plan. Requests are sent
// when they are due, whether or not earlier ones have been answered, and never sent again.
package load
