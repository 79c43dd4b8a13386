// Package backlog keeps the account of the bytes that an instance holds for its
// clients and endpoints, and decides which clients are let go when they are too many.
//
// # Problem
//
// Callers may read slowly or stop, and endpoints may read request bodies slowly.
// Clients may begin requests and never end them, or keep connections open in silence.
// What the instance holds meanwhile is in its own memory. Thousands of such clients,
// possibly all of one organisation, must neither use it up nor harm others.
//
// # Terms
//
//   - An Exchange is one request, or the connection on which requests come, with what
//     is held for it: the connection's buffers, the parsed head, the body, and the part
//     of the answer that the caller has not read yet.
//   - An exchange is unfinished while its client has not sent a whole request.
//   - An exchange is slow while its caller keeps a write waiting.
//   - To let a client go is to close its connection: before it has sent its request, or
//     before it has read its answer.
//
// # Contract
//
//   - The sum of all exchanges, without those being let go, exceeds the limit only by
//     what is charged unasked: the overhead of callers that have just become slow, and
//     of other instances.
//   - Exchanges that hold up to SmallBytes each, as ordinary requests do, may take a
//     reserve beyond the limit. Relieve frees it again.
//   - While a sixteenth of the limit is held for clients that are being let go, no
//     others are.
//   - Only unfinished and slow exchanges are let go, each once, and only if that makes
//     the room that is needed; unfinished ones first, which lose no answer.
//   - Of the unfinished exchanges those that hold the most give first; of equal ones,
//     those that have been unfinished for longest, at least MinUnfinished. An exchange
//     that is unfinished or slow itself makes no room at the cost of an unfinished one
//     that holds less than it would.
//   - Of the slow ones the organisation that holds the most gives first; of these, the
//     exchange that holds the most; of equal ones, the one that has been slow for
//     longest. A slow exchange makes no room at the cost of an organisation that holds
//     less than its own.
//
// A Table has no I/O, clock or goroutine and isn't safe for concurrent use.
package backlog
