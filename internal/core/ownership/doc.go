// Package ownership says which instance owns what: each endpoint, the home of
// each organisation in each zone, and the home of each claim shard.
//
// The owner is the live member that wins a rendezvous hash, so that every
// instance with the same view names the same owner, and a member that comes or
// goes moves only what it wins or had. While views differ, two instances may
// both take themselves for the owner: ownership serves efficiency, and no
// promise may rest on it alone.
//
// The functions are pure. A Table keeps the owners of a set of endpoints and
// updates them by what changed; it must be used by one goroutine at a time.
package ownership
