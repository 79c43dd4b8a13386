// Package gateway is one instance that serves transparent routes, put together:
// the callers' edge, the connections to endpoints, what the instance believes
// to be in force, the broker and coordinator that it may be, and the links to
// other instances.
//
// # Threads
//
// One control goroutine (control.go) steps the decision cores. Goroutines of
// requests move bytes, read what is believed through atomic pointers, and wait
// for the control goroutine's word where a slot is granted. One goroutine
// follows the store.
package gateway
