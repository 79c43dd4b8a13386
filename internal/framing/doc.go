// Package framing holds the rules by which a response over HTTP/1.1 counts as one, and as whole. All that read
// responses go by them: of endpoints, directly or through other instances, of the store and of the platform's
// services.
//
// # Problem
//
// A peer in trouble sends bytes that are no response, or cuts one off anywhere. net/http reads what it can: it takes
// names with blanks and statuses such as 000 or +20, waits for more where the bytes so far can't become a
// response, and reports a connection that was reset as one that has ended if the error went to the writer.
//
// # Contract
//
//   - A head is a status line of HTTP/1.0 or 1.1 with a status from 100 to 599, and fields whose names are tokens and
//     whose values hold no control bytes, each on one line. The first byte that can't belong to one fails the
//     read, whatever follows or doesn't (HeadCheck).
//   - A response states its length once: by a length or by chunks. A protocol that was not asked for is no response.
//   - Chunks are complete once the trailer section has ended, which holds fields as a head does (ChunkedBody).
//   - The end of a connection is the end of a response only if all that was to be written to the connection
//     has been: the error of a reset goes to the writer or to the reader, and the other one sees a regular end
//     (Writes).
package framing
