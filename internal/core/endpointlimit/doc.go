// Package endpointlimit keeps the rate limits that endpoints state about themselves.
//
// # Problem
//
// An endpoint in need states in its responses how many requests per second it takes from
// all instances together. No instance sees what the others send, the statement reaches one
// of them only, and it holds until a later response lacks it. Whoever sends to the endpoint
// must keep it: first sends, retries, resumed streams, requests of other zones.
//
// # Terms
//
//   - A Statement is what an endpoint last said: a limit, or that it has none.
//   - A Table holds the newest statement of each endpoint. Instances exchange the statements
//     that have changed.
//   - A Pacer spreads requests evenly, so that an endpoint is sent no burst.
//
// # How a limit is kept
//
// Requests to a limited endpoint need a grant of the broker of its pool and zone, for
// engines and plain services alike. The broker has one Pacer for each limited endpoint. It
// uses a part of the limit while it reaches only a minority of its zone, and so does an
// instance that reaches no broker; see Share.
//
// # Which statement is newer
//
// Instances have no common clock, and messages state ages. Of two statements of one
// incarnation that were made within OrderTolerance, the lower limit wins; otherwise the
// later one. A statement that was wrongly taken for the newer one is corrected by the next
// response. A later incarnation of an endpoint has stated nothing yet.
//
// # Contract
//
//   - Instances that have exchanged all statements hold the same limits.
//   - A Pacer allows one request per interval, whatever was not used before.
//   - Table and Pacer have no I/O, clock or goroutine, and aren't safe for concurrent use.
package endpointlimit
