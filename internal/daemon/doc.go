// Package daemon puts an instance together: the control goroutine around the
// decision core, and the edges towards callers, peers, endpoints, operators
// and the platform. Everything that blocks runs on goroutines of its own and
// talks to the core by messages.
package daemon
