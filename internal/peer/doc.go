// Package peer carries messages between the instances of the system: JSON-RPC
// 2.0 over TCP, optionally with TLS, after a mutual proof of the peer key.
//
// # Usage
//
// Transport.Send queues a message for an instance and returns at once. Messages
// to one instance are sent in order, each as a call that the receiver
// acknowledges when it has taken the message over. An exchange that isn't
// acknowledged within its timeout condemns the connection, whatever TCP says of
// it: the connection is closed, and what was not acknowledged is sent once more
// over a fresh one. When that fails too, Options.Failed is told.
//
// So a message may arrive twice, or after a later one. Receivers must treat
// every message as idempotent by the id it carries, and none is ever a request
// of a caller: only the entry instance dispatches those.
//
// Each side uses the connections it dialled for sending and those it accepted
// for receiving.
package peer
