// Package upstream sends requests to endpoints over its own connection pool and reads
// their responses.
//
// # Problem
//
// net/http's Transport retries some requests by itself, may take unread bytes for the
// next response and dials a second connection while a request waits for one. Here each
// request is written at most once, to one connection, and every failure carries a
// verdict: whether the endpoint may have run the request.
//
// # Endpoint behaviour that the client handles
//
//   - An endpoint closes an idle connection, or drops it without notice: a connection is
//     checked before it is reused, and not reused after its idle timeout.
//   - It sends a second response, at once, before the next response or in place of it: a
//     response names its request, and responses to other requests are read and discarded. A
//     request that is sent again takes another connection, as a response does not say to which
//     sending it belongs.
//   - It responds before it has read the body: large requests are written concurrently
//     with the reading of the response, and a connection is not reused if the body was
//     not written completely.
//   - It sends bytes after a response, or bytes that are no response: the connection is
//     closed.
//   - It sends a response without a length: the response ends with the connection, and
//     counts as complete only if the connection was closed and not reset, and the endpoint
//     lives on: the connections of a process that is killed are closed as well.
//   - It sends bytes without end, in the headers, as informational responses or as a body:
//     each is limited, and the connection is closed when a limit is exceeded. The time is
//     bounded by the caller's context, however often bytes arrive.
//   - It becomes unresponsive: TCP keep-alive probes and the time limit on unacknowledged
//     bytes close the connection, and the caller's context bounds the exchange.
package upstream
