// Package speed estimates how fast endpoints prefill and decode. Estimates
// start at the configured rates and follow the measurements of finished requests,
// as exponentially weighted moving averages per endpoint and per hardware
// generation. An endpoint without measurements takes the estimate of its
// generation.
//
// The package does no I/O and is not safe for concurrent use.
package speed
