// Package speed estimates how fast endpoints prefill and decode. Estimates
// start at the configured rates and follow what finished requests have shown,
// as exponentially weighted moving averages per endpoint and per hardware
// generation. An endpoint that has shown nothing yet takes the estimate of
// its generation.
//
// The package is pure and not safe for concurrent use.
package speed
