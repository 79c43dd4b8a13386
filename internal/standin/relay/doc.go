// Package relay is a TCP forwarder that tests place between a client and its target to inject
// network faults: it closes connections, refuses new ones, delays bytes, or stalls without
// closing, separately for each direction.
package relay
