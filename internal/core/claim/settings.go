package claim

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/stream"
)

// Settings configures a Shard. A duration or number that is zero or negative is
// replaced by its default; Instance is required.
type Settings struct {
	// Instance is the home that runs the shard. The id must be different after each
	// restart.
	Instance entity.InstanceID
	// Budget limits the rate of appends of all shards of this instance, which share
	// it; nil means no limit.
	Budget *Budget
	// Window is the deduplication window: two runs under one key start at least
	// this long apart.
	Window time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
	// RetentionMargin is the minimum by which Retention must exceed the time for
	// which a claim holds its key.
	RetentionMargin time.Duration
	// MaxClockSkew is the maximum difference between the clock that created a timed
	// key and the log's clock.
	MaxClockSkew time.Duration
	// RequireTimedKeys makes the shard refuse keys that contain no time of creation.
	RequireTimedKeys bool
	// DispatchWithin is how long after its first proposal a request that won may
	// still be dispatched.
	DispatchWithin time.Duration
	// MaxRunTime is the longest that a run may take. If a claim has had no outcome
	// for longer than DispatchWithin and MaxRunTime together, later proposals of its
	// key are answered with MayHaveRun.
	MaxRunTime time.Duration
	// AnswerRetention is how long the answer of an outcome is stored. Its verdict and
	// status are stored for the full window.
	AnswerRetention time.Duration
	// DecisionTimeout is how long a proposal waits for its decision.
	DecisionTimeout time.Duration
	// RetryAfter is the time after which refused callers may retry.
	RetryAfter time.Duration
	// AppendTimeout is the time after which the result of an append without an answer
	// counts as unknown.
	AppendTimeout time.Duration
	// AppendBackoff is the pause after a failed append.
	AppendBackoff time.Duration
	// ReadTimeout is the time after which a read without an answer counts as failed.
	ReadTimeout time.Duration
	// ReadBackoff is the pause after a failed read.
	ReadBackoff time.Duration
	// ReadInterval is the pause between reads while nothing is waiting.
	ReadInterval time.Duration
	// ReadWait is how long a read waits for records while something is waiting.
	ReadWait time.Duration
	// MaxAnswers is the maximum number of answers stored; the oldest is dropped first.
	MaxAnswers int
	// MaxKeys is the maximum number of live keys of the shard; further proposals are
	// refused.
	MaxKeys int
	// MaxPending is the maximum number of proposals, and likewise of outcomes, that
	// wait in the shard.
	MaxPending int
}

// The default settings.
const (
	DefaultWindow          = 24 * time.Hour
	DefaultRetention       = 48 * time.Hour
	DefaultRetentionMargin = time.Hour
	DefaultMaxClockSkew    = 5 * time.Minute
	DefaultDispatchWithin  = 30 * time.Second
	DefaultMaxRunTime      = 2 * time.Minute
	DefaultAnswerRetention = time.Hour
	DefaultDecisionTimeout = 5 * time.Second
	DefaultRetryAfter      = 2 * time.Second
	DefaultAppendTimeout   = 2 * time.Second
	DefaultAppendBackoff   = 500 * time.Millisecond
	DefaultReadTimeout     = 1500 * time.Millisecond
	DefaultReadBackoff     = 500 * time.Millisecond
	DefaultReadInterval    = 2 * time.Second
	DefaultReadWait        = 500 * time.Millisecond
	DefaultMaxAnswers      = 2000
	DefaultMaxKeys         = 10000
	DefaultMaxPending      = 1024
)

// Limits on what is written to the log and read from it.
const (
	// MaxAnswerBytes is the maximum size of an answer that is stored with an outcome;
	// a larger one is left out.
	MaxAnswerBytes = 512
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 256
	// MaxIDBytes is the maximum length of a request id, and of a reason.
	MaxIDBytes = 64
	// maxClaimDelay is the maximum delay with which a claim may reach the log so that
	// its request may still be dispatched; DispatchWithin must not exceed it. It must
	// be the same for every reader, since the outcome of claims depends on it.
	maxClaimDelay = 5 * time.Minute
	// maxBatchEntries is the maximum number of entries of one append.
	maxBatchEntries = 64
	// maxRecordBytes is the maximum size of a record; a larger one is ignored.
	maxRecordBytes = 128 << 10
	// readLimit is the maximum number of records of one read.
	readLimit = 256
)

// withDefaults returns the settings with defaults filled in, and an error if they
// are inconsistent.
func (s Settings) withDefaults() (Settings, error) {
	setDuration(&s.Window, DefaultWindow)
	setDuration(&s.Retention, DefaultRetention)
	setDuration(&s.RetentionMargin, DefaultRetentionMargin)
	setDuration(&s.MaxClockSkew, DefaultMaxClockSkew)
	setDuration(&s.DispatchWithin, DefaultDispatchWithin)
	setDuration(&s.MaxRunTime, DefaultMaxRunTime)
	setDuration(&s.AnswerRetention, DefaultAnswerRetention)
	setDuration(&s.DecisionTimeout, DefaultDecisionTimeout)
	setDuration(&s.RetryAfter, DefaultRetryAfter)
	setDuration(&s.AppendTimeout, DefaultAppendTimeout)
	setDuration(&s.AppendBackoff, DefaultAppendBackoff)
	setDuration(&s.ReadTimeout, DefaultReadTimeout)
	setDuration(&s.ReadBackoff, DefaultReadBackoff)
	setDuration(&s.ReadInterval, DefaultReadInterval)
	setDuration(&s.ReadWait, DefaultReadWait)
	setInt(&s.MaxAnswers, DefaultMaxAnswers)
	setInt(&s.MaxKeys, DefaultMaxKeys)
	setInt(&s.MaxPending, DefaultMaxPending)
	return s, s.check()
}

// reader returns the settings of the reader of a shard's stream.
func (s Settings) reader(num ShardNumber) stream.ReaderSettings {
	return stream.ReaderSettings{
		Stream:   num.Stream(),
		Limit:    readLimit,
		Interval: s.ReadInterval,
		Wait:     s.ReadWait,
		Backoff:  s.ReadBackoff,
		Timeout:  s.ReadTimeout,
	}
}

func (s Settings) check() error {
	switch {
	case s.Instance == "":
		return trace.BadParameter("claim: the instance is missing")
	case s.keyHoldTime()+s.RetentionMargin > s.Retention:
		return trace.BadParameter("claim: a key held for %v and the margin %v exceed the log's retention %v",
			s.keyHoldTime(), s.RetentionMargin, s.Retention)
	case s.DispatchWithin > maxClaimDelay:
		return trace.BadParameter("claim: dispatch within %v exceeds the maximum delay of a claim %v", s.DispatchWithin, maxClaimDelay)
	case s.MaxClockSkew >= s.Window:
		return trace.BadParameter("claim: window %v is not longer than the clock skew %v", s.Window, s.MaxClockSkew)
	}
	return nil
}

// maxRunEnd returns the latest end of a run, counted from its claim: it may be
// dispatched as late as DispatchWithin and then take MaxRunTime.
func (s Settings) maxRunEnd() time.Duration { return s.DispatchWithin + s.MaxRunTime }

// keyHoldTime returns how long a claim holds its key: the window, counted from the
// latest end of a run.
func (s Settings) keyHoldTime() time.Duration { return s.Window + s.maxRunEnd() }

func setDuration(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}

func setInt(n *int, def int) {
	if *n <= 0 {
		*n = def
	}
}
