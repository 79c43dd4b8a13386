// Package limit holds the rate and the concurrency of an organisation's
// contract over all instances without a message per request.
//
// The contract is divided among the availability zones by their live
// instances. In each zone one instance is the home of an organisation, named
// by package ownership. The Home lends shares of the zone's part to the
// instances of the zone; the Borrower on each instance admits requests out of
// its share. A small base is never lent but belongs to each instance, so that
// an organisation that is seldom seen needs no message at all.
//
// # Usage
//
// Home and Borrower have no I/O, no clock and no goroutine; each must be
// driven by one goroutine at a time. Step takes in messages, whose sender must
// be authenticated; Tick is due every 100 ms; Ready hands out the messages to
// be sent, also those to the own instance, which the caller passes straight
// back in. SetZone must be called before anything else and at each change of
// the membership view.
//
// Take admits a request or refuses it. The refusal with ReasonNone means
// undecided: the home has been asked, and Take is to be called again when Ready
// names the organisation as answered, or after the given time. Each Take that
// returned true needs one Done.
//
// # Leases
//
// A share is a lease. The borrower counts it from when it sent the demand that
// the share answers, the home from when it answered, so the home takes a share
// back only after its holder has stopped using it, without agreement of
// clocks. A new home learns what is lent from the borrowers' demands, and lends
// nothing more until each live instance of the zone has told it or the leases
// have run out.
package limit
