// Package endpoint is the client for model engines and plain services; their
// protocol is described in docs/ENGINE-PROTOCOL.md. It is used by the request
// goroutines of the entry instance, which holds the caller's connection. It does
// not choose endpoints.
//
// # Contract
//
// Generate and Call send their request at most once, over a new connection. A
// pooled connection could have become unresponsive, so that the dispatch would
// be lost without an error. Every error that they return is a verdict.Error:
//
//   - not_run if the engine refused the request on admission, if the request
//     could not be built, or if no byte of it was written to the connection.
//     The last case is proved by sealing the connection, after which it accepts
//     no writes.
//   - may_have_run in all other cases.
//
// When the connection of a stream breaks or makes no progress, Generate attaches
// to the stream again over a new connection, from the next token on. The number
// of consecutive attempts without a new token is limited. Generate returns no
// error only if the complete answer was passed to onToken, in order, up to the
// engine's end event.
//
// Cancelling the context, or an error from onToken, ends the call but not the
// stream on the engine: use Cancel for that.
//
// Pause, Resume, Cancel, Load, CacheEvents, Order, OrderStatus, Export and
// Import may be repeated. The first attempt may use a pooled connection,
// later ones open a new connection.
package endpoint
