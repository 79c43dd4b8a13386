// Package endpoint is the client towards model engines and plain services, as
// docs/ENGINE-PROTOCOL.md describes them. The traffic goroutines of an entry
// instance use it; it decides nothing about where a request goes.
//
// # Contract
//
// Generate and Call send their request at most once, over a connection of
// their own that was opened for it, so that a connection that has gone silent
// in a pool can't swallow a dispatch. Every error they return is a
// verdict.Error:
//
//   - not_run when the engine refused on admission, or when not one byte was
//     given to the connection: this is proved by sealing the connection, after
//     which it takes no byte any more.
//   - may_have_run for everything after that.
//
// A stream that breaks or makes no progress is re-attached to from the next
// token over a new connection, a bounded number of times in a row without a
// new token. Generate returns no error only when the whole answer was handed
// to onToken, in order, up to the engine's end mark.
//
// Cancelling the context, or an error from onToken, ends the call but not the
// stream on the engine: use Cancel for that.
//
// Pause, Resume, Cancel, Load, CacheEvents, Order, Export and Import may be
// repeated. They use pooled connections first and a new one when that fails.
package endpoint
