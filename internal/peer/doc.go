// Package peer carries messages between the instances of the system. It speaks
// JSON-RPC 2.0 over TCP, optionally with TLS. Both sides of a connection prove
// that they hold the peer key before any message is accepted.
//
// # Usage
//
// Transport.Send queues a message for an instance and returns at once. Messages
// to one instance are sent in order, each as a JSON-RPC call that the receiver
// acknowledges after Options.HandleMessage has returned. If an acknowledgement does
// not arrive within the exchange timeout, the connection is closed, whatever
// its TCP state, and unacknowledged messages are sent once more over a new
// connection. A message that fails twice, or that the receiver rejects, is
// passed to Options.OnSendFailed. Where all acknowledgements are slow, because processors
// are short, connections get more time before they are replaced (patience).
//
// A message may therefore arrive twice, or after a later one. Receivers must
// handle every message idempotently, by the id it carries. Callers' requests are
// never sent as messages: only the entry instance, which holds the caller's
// connection, dispatches a request.
//
// Transport.Call sends a query and waits for its result. The receiver runs
// queries concurrently with its messages.
//
// Each side sends over the connections that it dialled and receives over those
// that it accepted.
package peer
