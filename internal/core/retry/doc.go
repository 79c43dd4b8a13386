// Package retry decides whether and when a request may be retried. Policy allows
// a retry only with proof that the request was not run, and only within its
// pool's budget, so that retries can't amplify an overload. FleetBudget only
// limits the number of retries, over all instances together.
//
// The package is pure: the time and the random source are passed in. It is
// not safe for concurrent use.
package retry
