// Package reach decides whether an instance connects to an endpoint itself or through another
// instance.
//
// # Problem
//
// An instance may lose its links to some or all endpoints while others keep theirs. What one
// instance can't reach isn't down: a connection through another instance works. An endpoint that
// nobody reaches is down, and so is none of this package's concern.
//
// # Terms
//
//   - An endpoint is bypassed if the instance could not connect to it itself while another instance
//     could.
//   - An instance is cut off if it bypasses several endpoints and has connected to none itself since.
//
// # Contract
//
//   - The first connection to a bypassed endpoint after a pause is tried both ways, so that an end
//     of the cut is noticed and costs no request time. The pauses grow while it lasts.
//   - An instance that is cut off tries both ways at once for every endpoint that it knows nothing of.
//   - A connection that the instance opens itself ends the bypass of that endpoint, and the state of
//     being cut off.
//
// The package has no I/O, clock or goroutine. A Table isn't safe for concurrent use.
package reach
