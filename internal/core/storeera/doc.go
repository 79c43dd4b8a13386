// Package storeera decides what a read of the store is worth after the store was replaced
// by an older copy of itself.
//
// # Problem
//
// The store normally loses nothing that it has acknowledged. In a recovery it may come
// back from a copy that is some seconds old. Offsets then go back and are given to other
// records, so an instance that reads on from its last offset would skip records that now
// stand below it. Configurations may be missing until the operator has published them
// again, so a read doesn't prove that the configuration in force is the newest. Each
// response carries the store's era, which rises by one with each replacement.
//
// # Contract
//
//   - Judge decides whether the records of a read follow those that were read before.
//   - A Tracker knows the newest era, and whether reads prove that a configuration is the
//     newest. A read proves nothing until the store shows a version at least as new as the
//     one in force, and either a configuration was published since the replacement or
//     SettleTime has passed, in which lost ones would have been published again.
//   - A process that starts can't know whether the store was replaced just before. Its reads prove
//     nothing until LongSettleTime has passed, unless others have found the era settled and written that
//     into the store, or the deployment is started for the first time.
//   - A read proves nothing while another instance is known to have a newer version.
//   - Versions in force never go back: that is the caller's part.
//
// The package has no I/O, clock or goroutine. A Tracker isn't safe for concurrent use.
package storeera
