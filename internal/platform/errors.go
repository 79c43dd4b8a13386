package platform

import "errors"

// Errors of the platform's clients, to be tested with errors.Is.
var (
	// ErrNotAppended means that the record is not in the stream and never will be.
	ErrNotAppended = errors.New("log: record was not appended")
	// ErrUnknownOutcome means that the record may or may not be in the stream.
	ErrUnknownOutcome = errors.New("log: outcome of the append is unknown")
	// ErrTruncated means that the log has dropped the requested offset because
	// it is older than the retention.
	ErrTruncated = errors.New("log: offset is older than retention")
	// ErrUnavailable means that the log service did not answer a read, or the
	// instance list or weight store a call, with a usable response.
	ErrUnavailable = errors.New("log: service unavailable")
)
