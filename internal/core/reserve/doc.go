// Package reserve is the entry's side of granting slots: for each request it
// knows which broker was asked, gives its word to the request's goroutine, and
// goes on without a broker that is silent.
//
// # Problem
//
// The broker of a pool may be killed, frozen, slow or cut off at any moment,
// and a request has a few hundred milliseconds in all. A broker that doesn't
// say within AnswerWithin that it has taken a question counts as silent for a
// while; questions then go to the instance's own broker, which uses only this
// instance's part of each engine's slots.
//
// # Contract
//
//   - Each Ask leads to exactly one Decision, unless it is withdrawn.
//   - A grant that comes after the request went elsewhere is given back.
//   - The broker in charge is told of whatever runs on the pool's engines
//     without its grant.
//
// An Entry has no I/O, clock or goroutine and isn't safe for concurrent use.
package reserve
