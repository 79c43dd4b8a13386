// Package upstream sends requests to endpoints over connections of its own and
// reads their answers.
//
// # Problem
//
// net/http's Transport repeats some requests by itself, keeps unread bytes for
// the next answer and dials beside a waiting request. Here each request is
// written at most once, to one connection, and every failure carries a verdict:
// whether the endpoint may have run the request.
//
// # What an endpoint may do, and what meets it
//
//   - It closes a kept connection, or drops it without notice: a connection is
//     looked at before it is used again, and not used after its idle time.
//   - It sends a second answer, at once or where the next answer is due: an
//     answer names its request, and those of others are read and thrown away.
//   - It answers before it has read the body: the body is written beside the
//     reading of the answer, and a connection whose body isn't all written is
//     not used again.
//   - It sends bytes after an answer, or none that are an answer: such a
//     connection is closed.
//   - It answers without a length: the answer ends with the connection, and is
//     whole only if that was closed and not reset.
//   - It goes silent: keep-alive probes and the time limit on unacknowledged
//     bytes end the connection, and the caller's context bounds the exchange.
package upstream
