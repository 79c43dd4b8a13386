// Package control runs the decision core of an instance on one goroutine, the
// control goroutine. All other goroutines do input and output only: they post
// typed messages to the Loop, and the Loop passes the decisions of the core to the
// goroutines of requests, to the peers and to the poller of endpoints.
package control
