// Package balance chooses an endpoint of a plain service for each call, by what
// one instance knows by itself.
//
// # Problem
//
// Plain services have room for what their callers send on most days, answer
// within tens of milliseconds, and say how busy they are in each answer. Asking
// another instance for a slot would cost more than it saves. The load that this
// answers is calls at well under the slots of a pool, with some endpoints
// slow, failing or gone.
//
// # Contract
//
// A Table has no I/O, clock or goroutine, and isn't safe for concurrent use. Each
// endpoint that Pick returns must be given back by Done.
package balance
