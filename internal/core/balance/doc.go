// Package balance chooses an endpoint of a plain service for each call, using
// only what the local instance knows.
//
// # Problem
//
// Plain services usually have capacity for the load of their callers, answer
// within tens of milliseconds, and report their load in each answer. Asking
// another instance for a slot would cost more than it saves. The package is
// designed for a load well below the slots of a pool, with some endpoints slow,
// failing or lost.
//
// # Contract
//
// A Table has no I/O, clock or goroutine, and isn't safe for concurrent use. For
// each endpoint that Pick returns, Done must be called once.
package balance
