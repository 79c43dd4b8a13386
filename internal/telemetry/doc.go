// Package telemetry provides logging and metrics: numbered log events, which
// docs/EVENTS.md lists, and metrics in a go-metrics registry, exposed over HTTP
// in the Prometheus text format.
package telemetry
