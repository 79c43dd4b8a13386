// Package tunnel carries the bytes of a connection to an endpoint through another instance.
//
// # Problem
//
// An instance may lose its links to endpoints while its callers and the other instances still reach
// it, and other instances still reach the endpoints. It then opens its connections to endpoints
// through one of those.
//
// # Contract
//
//   - A tunnel is opened before any byte of a request is written, and the instance at its other end
//     has a connection to the endpoint by then: a tunnel that can't be opened has carried nothing.
//   - The bytes pass unchanged and as they arrive. The end of the endpoint's connection ends the
//     tunnel in the same way: a reset shows as a reset, so that a truncated response can't be taken
//     for a complete one. When the dialling side closes, the endpoint's connection is closed.
//   - A tunnel leads from the instance that dials it straight to an endpoint, so there are no loops,
//     and a server opens no more than Server.MaxOpen.
//
// The opening exchange is one JSON-RPC 2.0 request and its response, each preceded by its length.
// It begins with a zero byte, by which it is told from the messages between instances, which use the
// same port.
package tunnel
