// Package relay is a TCP forwarder that stands between two ends in tests and
// shows the faults of a network: it cuts connections, refuses new ones, delays
// bytes, or goes silent without closing, in each direction on its own.
package relay
