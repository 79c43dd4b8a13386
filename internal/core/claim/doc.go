// Package claim decides which request may run under an idempotency key, so
// that a non-idempotent request runs at most once.
//
// A request with a key is proposed to the Shard that its organisation and key
// hash to. If the key is free as far as the shard has read its stream of the
// log, the shard appends a claim and reads the stream back. The claim names the
// offset up to which the shard had read, its basis. It counts if there is no
// other claim of the key between its basis and itself. So among concurrent
// claims the first in log order wins, and all readers that have read the stream
// from the basis on agree, wherever they started and whichever instances consider
// themselves the home.
//
// Each availability zone has a home for each shard: the instance that decides the
// shard's proposals. It is chosen outside of this package. Two homes for one shard
// in a zone cost appends and reads, but never lead to a second run.
//
// # Responsibilities
//
// The log orders claims. A home reads the log and reports the result. Only the
// instance that holds the caller's connection (the entry instance, see Ticket)
// ends a request: it dispatches the request at most once, or it settles it as
// not run and then never dispatches it. A home never frees a key by itself.
//
// # Using a Shard
//
// A Shard does no I/O and has no clock. It is stepped by HandleProposal,
// HandleOutcome, HandleAppendResult, ApplyRecords, ReadFailed and Tick, each with
// the current time. After each step, or after several, the driver calls Ready once and
//
//   - appends each Batch to the log, once, and calls HandleAppendResult;
//   - performs the Read, if there is one, and calls ApplyRecords or ReadFailed.
//     On platform.ErrTruncated it calls ApplyRecords without records and with
//     the First and Next of the result;
//   - sends each Decision to the entry instance Decision.To, and each
//     Acknowledgement likewise.
//
// A driver that gets no answer to an append reports AppendUnknown; it never
// repeats an append by itself. Messages may be lost or repeated: the entry
// instance repeats a proposal or an outcome that is not answered, possibly to
// another home, and the shard repeats a win until there is an outcome. If the
// entry instance fails in between, its key stays held for the window, and later
// requests with the key get the verdict that the first one may have run.
//
// # The deduplication window
//
// Each claim states for how long it holds its key: the longest time that its run
// may last, plus the window. This is measured by the log's time stamps, which are
// the same for every reader. The sum of that time and Settings.RetentionMargin
// must not exceed the log's retention, so that a home that has read the stream
// from its oldest record knows every live claim. Until it has, it refuses all
// proposals.
//
// A key that is a ULID contains its time of creation. Its claims count only
// while that time is within the window (less Settings.MaxClockSkew), so any two
// claims that count are less than the window apart: such a key never runs twice
// at all. A key without a time that is used again after its window counts as a
// new key; Settings.RequireTimedKeys makes the shard refuse such keys.
package claim
