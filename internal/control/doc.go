// Package control runs the decision core of an instance on one goroutine. All
// other goroutines move bytes: they post typed messages to the Loop, and the
// Loop hands out what the core has decided to the traffic side, to the peers
// and to the pollers of endpoints.
package control
