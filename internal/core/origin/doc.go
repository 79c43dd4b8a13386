// Package origin remembers which software version of a pool's endpoints began a stream.
//
// # Problem
//
// Endpoints of several software versions may serve one pool side by side. What two versions write
// doesn't fit together, and endpoints don't check it: a stream that broke off may go on only at the
// version that began it. Its caller takes it up again at any instance, also after all instances were
// killed, and can name the request that began it, but not the version.
//
// # Terms
//
//   - The origin of a stream is the version of the endpoint that sent its first event.
//   - A record states the origin of one stream. Records are kept in a log that outlasts the instances.
//   - The base of a pool is the version that began all streams without a record. Streams of the base
//     need no record, so nothing is written while a pool has one version.
//
// # Contract
//
//   - A record is in the log before the first event of its stream is sent to the caller. So after a
//     read of the log to its end, a stream without a record began at the base, if the statement about
//     the base was made or confirmed in the log's present era.
//   - The log may come back from an older copy of itself, in a new era (package storeera), and lack
//     records. The base is confirmed once all that instances hold was appended again and at most one
//     instance is gone that may have held records, as each record is held by two; otherwise once no
//     stream of the earlier era can be taken up. Until then all streams that begin are recorded.
//   - All instances may be killed, and with them what only they hold. So what a missing record proves
//     may rest on the log alone: a stream that is sent before the log has its record began at the base or
//     at the version announced as the next one, or while the log says that there is no base, when a missing
//     record proves nothing.
//   - The base is taken away once it has no endpoint for goneFor while others serve. The next one is announced
//     after StatementLifetime, and becomes the base when no stream can be taken up any more that began at
//     another version and of which only instances knew. An instance that has not read the log for
//     StatementLifetime sends nothing before the log has its record, but streams of the base it knows.
//   - Of two statements about a pool's base, that of the later era holds; of the same era, the one with
//     the higher revision.
//   - What is not known is not guessed: Find and Base say so.
//
// The package has no I/O, clock or goroutine. Its types aren't safe for concurrent use.
package origin
