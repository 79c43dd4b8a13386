// Package claim decides which request may run under an idempotency key, so
// that a non-idempotent request runs at most once.
//
// A request with a key is proposed to the Shard that its organisation and key
// hash to. If the key is free as far as the shard has read its stream of the
// log, it appends a claim that names that offset, its basis, and reads the
// stream back. The claim counts if no other claim of the key stands between its
// basis and itself: of those that race, the first in log order wins, whoever
// believes to be the shard's home, and all readers agree that have read from
// the basis on, wherever they started. Each availability zone has a home per
// shard, appointed from outside. Two homes for one shard cost appends and
// reads, never a second run.
//
// # Who decides what
//
// The log orders claims. A home reads the log and passes on what it says. Only
// the instance that holds the caller's connection (the entry instance, see
// Ticket) ends a request: it dispatches at most once, or it settles the
// request as not run and then never dispatches it. A home never frees a key on
// its own account.
//
// # Using a Shard
//
// A Shard does no I/O and has no clock. It is stepped by Propose, Settle,
// AppendResult, Fold, ReadFailed and Tick, each with the current time. After
// each step (or several) the driver calls Ready once and
//
//   - appends each Batch to the log, once, and reports AppendResult;
//   - performs the Read, if there is one, and reports Fold or ReadFailed. On
//     platform.ErrTruncated it calls Fold without records and with the First
//     and Next of the result;
//   - sends each Decision to the entry instance Decision.To, and each
//     Acknowledgement likewise.
//
// A driver that loses the answer of an append reports AppendUnknown; it never
// appends a batch again by itself. Messages may be lost or repeated: the entry
// instance repeats a proposal or an outcome that stays without an answer, also
// to another home, and the shard repeats a win that stays without an outcome.
// A key whose entry instance died in between stays taken for the window, and
// others are told that its request may have run.
//
// # The deduplication window
//
// Each claim says for how long it takes its key: for the longest that its run
// may last and the window after that, by the log's time stamps, which are the
// same for every reader. That and Settings.RetentionMargin must not exceed the
// log's retention, so a home that has read the stream from its oldest record
// knows every live claim; until it has, it refuses.
//
// A key that is a ULID carries its time of creation. Its claims count only
// while that time is within the window (less Settings.MaxClockSkew), so no two
// claims that count lie further apart than the window: such a key never runs
// twice at all. A key without a time that comes back after its window is
// taken for a new key; Settings.RequireTimedKeys refuses such keys.
package claim
