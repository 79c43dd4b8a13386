// Package fleet runs several decision cores in one process under a virtual
// clock, with everything around them replaced by small fakes that fail on
// purpose, and records what can be seen from outside as a history. It is for
// tests only.
//
// # Usage
//
// Run plays the history of a seed and returns what package history and the
// checks here find in it. The same seed and options always give the same
// history, so a failure is replayed by its seed.
//
// # What is real and what is fake
//
// Real: package node with all that it composes, the configuration follower and
// the fold of records, the engine model, the storage of the stand-in log.
// Fake: the links between instances (as package peer describes them), the
// callers' edge, the client towards endpoints, plain services, the log's and
// the list's failures, balancer, callers and operators.
package fleet
