// Package gateway implements an instance that serves transparent routes. It
// assembles the HTTP server for callers, the connections to endpoints, the
// local state of configuration and discovery, the broker and coordinator roles,
// and the links to other instances.
//
// # Concurrency
//
// One control goroutine (control.go) runs the decision cores. Request goroutines
// transfer the bytes of requests and responses. They read the local state through
// atomic pointers, and wait for the control goroutine only to be granted a slot.
// The follower's goroutines (follow.go) read the store, one for the configuration
// and one for discovery.
package gateway
