package platform

import "errors"

// Errors of the log service that callers must tell apart.
var (
	// ErrNotAppended means that the record does not stand in the stream and never will.
	ErrNotAppended = errors.New("log: record was not appended")
	// ErrUnknownOutcome means that the record may or may not stand in the stream.
	ErrUnknownOutcome = errors.New("log: outcome of the append is unknown")
	// ErrTruncated means that retention has passed the offset that was asked for.
	ErrTruncated = errors.New("log: offset is older than retention")
	// ErrUnavailable means that the service did not answer a read.
	ErrUnavailable = errors.New("log: service unavailable")
)
