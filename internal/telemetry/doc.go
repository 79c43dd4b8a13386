// Package telemetry holds what the system tells about itself: numbered log
// events (catalogue in docs/EVENTS.md) and metrics in a go-metrics registry,
// exposed over HTTP in the Prometheus text format.
package telemetry
