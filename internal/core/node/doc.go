// Package node composes the decision core of one instance: the entry side
// (package request) and the owner side (package admission), membership,
// ownership, contract limits and claims, over the configuration in force.
//
// # Usage
//
// A Node has no I/O, no clock and no goroutine, and is driven by one goroutine:
// Step it with one typed message at a time, Tick it every TickInterval, and
// after each take Ready and carry its batch out in order. Messages to the
// instance itself never leave the Node.
//
// Systems run in a fixed order after each step: membership, limits, entry,
// owner, claims; messages that one system sends to another on the same
// instance are handled in the same step.
//
// # Time
//
// All times are passed in and never go backwards. Nothing in the core compares
// a time of its own with one that another instance took.
package node
