// Package catalog holds the operators' configuration for transparent routes and
// the table of endpoints that serve them.
//
// A Config is one version of the operators' document: routes, pools,
// organisations and their keys, and the bounds on what callers may send. An
// Endpoints table is the list of live endpoints according to discovery. Both are
// immutable once published, so any number of goroutines may read them. Discovery
// maintains the current Endpoints table; it is not safe for concurrent use.
//
// # Contract
//
//   - A Config is only ever replaced by one with a higher version.
//   - A row of the endpoint table is only ever replaced by a newer one: a row
//     of a later incarnation, or of the same incarnation with a higher sequence
//     number.
package catalog
