// Package daemon assembles and runs one instance: the control goroutine with
// the decision core, and the connections to callers, peers, endpoints,
// operators and the platform. Blocking operations run on separate goroutines,
// which communicate with the core by messages.
package daemon
