// Package retry decides whether a request may be tried again and when. A
// retry is legal only with proof that the request was not run, and only
// within its pool's budget, so that retries can't multiply an overload.
//
// The package is pure: the time and the random source are passed in. It is
// not safe for concurrent use.
package retry
