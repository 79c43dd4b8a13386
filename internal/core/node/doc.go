// Package node composes the decision core of one instance: the entry side
// (package request) and the owner side (package admission), membership,
// ownership, contract limits and claims, over the configuration in force.
//
// # Usage
//
// A Node has no I/O, no clock and no goroutine, and must be driven by a single
// goroutine: call Step with one typed message at a time, call Tick at least
// every TickInterval, and after each call take the batch from Ready and carry it
// out in order. Messages to the instance itself never leave the Node.
//
// After each step the output of the parts is processed in a fixed order:
// membership, limits, entry, owner, claims. Messages from one part to another
// one of the same instance are handled in the same step.
//
// # Time
//
// All times are passed in and never go backwards. The core never compares its
// own time with a time taken by another instance.
package node
