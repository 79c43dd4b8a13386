// Package holdoff records which endpoints have asked this instance to send them
// nothing for a while.
//
// # Problem
//
// An endpoint that declines a request may state when it wants the next one. The
// statement concerns the instance that sent the request, and no other: each
// instance keeps its own table, and avoids the endpoints in it when it asks for
// a slot.
//
// # Contract
//
// A Table has no I/O, clock or goroutine, and isn't safe for concurrent use. An
// endpoint that has restarted is a new one, which has asked for nothing, unless
// it may have asked before its restart was known.
package holdoff
