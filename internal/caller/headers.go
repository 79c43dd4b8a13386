package caller

// Headers of the callers' interface.
const (
	// HeaderTier names the tier of a request.
	HeaderTier = "X-Medlarhold-Tier"
	// HeaderDeadline is the time in milliseconds after which the answer is of no use.
	HeaderDeadline = "X-Medlarhold-Deadline-Ms"
	// HeaderLabel names the kind of work, for the contract's lose_first list.
	HeaderLabel = "X-Medlarhold-Label"
	// HeaderKey is the request key of a call that may not be repeated.
	HeaderKey = "Idempotency-Key"
	// HeaderRequestID carries the id that the system gave the request.
	HeaderRequestID = "X-Request-ID"
	// HeaderVerdict carries the verdict: ran, not_run or may_have_run.
	HeaderVerdict = "X-Medlarhold-Verdict"
	// HeaderReason carries the reason of a refusal.
	HeaderReason = "X-Medlarhold-Reason"
	// HeaderReplayed marks the outcome of an earlier request with the same key.
	HeaderReplayed = "X-Medlarhold-Replayed"
)

// maxKeyBytes bounds a request key.
const maxKeyBytes = 128
