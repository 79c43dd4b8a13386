// Package crowd plays HTTP clients that don't behave, tests only.
//
// # Problem
//
// A server must hold no more than its machine has, whatever its clients send or leave unsent. Sound clients, and load
// generators, send whole requests and read their answers, so they show nothing of that.
//
// # Terms
//
//   - A Behaviour is one way to misuse a connection, such as a head that never ends.
//   - A Crowd is a number of clients, each of which repeats behaviours on connections of its own.
//
// # Contract
//
//   - Connections go to loopback addresses only, and end with Crowd.Stop, or by themselves after maxTime.
//   - Of a behaviour that leaves something unsent, the rest is never sent: the client keeps the connection open until
//     the server ends it.
package crowd
