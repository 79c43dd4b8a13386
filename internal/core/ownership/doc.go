// Package ownership assigns to instances the ownership of endpoints, and in
// each zone the home of each organisation and of each claim shard.
//
// The owner is the live member with the highest rendezvous hash. So all
// instances with the same view compute the same owner, and a member that joins
// or leaves moves only what it gains or loses itself. While views differ, two
// instances may both consider themselves the owner: ownership serves
// efficiency, and no guarantee may depend on it alone.
//
// The functions are pure. A Table holds the owners of a set of endpoints and
// updates them incrementally; it must be used by one goroutine at a time.
package ownership
