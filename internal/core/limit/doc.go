// Package limit enforces the request rate and the concurrency of an
// organisation's contract over all instances without a message per request.
//
// The contract is divided among the availability zones in proportion to their
// live instances. In each zone one instance is the home of an organisation; it
// is chosen by package ownership. The Home lends shares of the zone's part to
// the instances of the zone, and the Borrower on each instance admits requests
// within its share. A fraction of the rate, the base, is never lent: it is
// divided equally among all instances, so that an organisation with little
// traffic needs no messages.
//
// # Usage
//
// Home and Borrower do no I/O, read no clock and start no goroutines; each must
// be driven by one goroutine at a time. Step processes a message, whose sender
// the caller has authenticated. Tick is due every 100 ms. Ready returns the
// messages to be sent, including those to this instance itself, which the caller
// hands to Step at once. SetZone must be called before any other method and at
// each change of the membership view.
//
// Admit admits a request or refuses it. A refusal with ReasonNone means that the
// request is undecided until the home answers a demand: the caller calls Admit again
// when Ready lists the organisation in Answered, or after the returned time.
// Each Admit that returned true needs one Done.
//
// # Leases
//
// A share is held under a lease. The borrower counts the lease from the time at
// which it sent the demand that the share answers, the home from the time of its
// answer. The home therefore lends a share again only after its holder has
// stopped using it, and no clocks need to be synchronised. A new home learns
// from the borrowers' demands what is lent. It lends nothing more until each
// live instance of the zone has reported its shares or the leases have expired.
package limit
