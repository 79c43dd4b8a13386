// Package fleet simulates a fleet: it runs several decision cores in one process
// under a virtual clock. Everything around them is replaced by small fakes that
// inject faults. The events that can be observed from outside are recorded as a
// history (package history). It is for tests only.
//
// # Usage
//
// Run runs the simulation of a seed, and returns its history with the violations
// that package history and the checks of this package find in it. A seed always
// gives the same history, so a failure can be reproduced from its seed.
//
// # What is real and what is fake
//
// Real: package node with all packages that it uses, the configuration follower
// and the code that applies configuration records, the engine model, and the
// storage of the stand-in log. Fake: the connections between instances (with the
// delivery rules of package peer), the HTTP side towards callers, the client
// towards endpoints, plain services, the failures of the log and of the instance
// list, the load balancer, callers and operators.
package fleet
