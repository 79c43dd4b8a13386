// Package catalog holds what operators have put in force for transparent
// routes, and which endpoints serve them.
//
// A Config is one version of the operators' document: routes, pools,
// organisations and their keys, and the bounds on what callers may send. An
// Endpoints table is the list of live endpoints as discovery tells it. Both are
// immutable once published, so that any number of goroutines may read them.
//
// # Contract
//
//   - A Config is only ever replaced by one with a higher version.
//   - A row of the endpoint table is only ever replaced by one that is newer:
//     of a later incarnation, or of the same with a higher sequence number.
package catalog
