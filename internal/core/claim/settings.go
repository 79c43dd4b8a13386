package claim

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/stream"
)

// Settings of a Shard. The zero value of each duration or number takes the
// default; Instance is required.
type Settings struct {
	// Instance is the home that runs the shard; unique over restarts.
	Instance entity.InstanceID
	// Budget bounds the appends of all shards of this instance, which share it;
	// nil means no bound.
	Budget *Budget
	// Window is the deduplication window: two runs under one key start at least
	// this long apart.
	Window time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
	// RetentionMargin is kept between Window and Retention.
	RetentionMargin time.Duration
	// MaxClockSkew bounds the difference between the clock that made a timed
	// key and the log's clock.
	MaxClockSkew time.Duration
	// RequireTimedKeys refuses keys that carry no time of creation.
	RequireTimedKeys bool
	// DispatchWithin is how long after its first proposal the entry instance
	// may still dispatch the winner.
	DispatchWithin time.Duration
	// MaxRunTime is the longest run. A claim without an outcome for longer than
	// DispatchWithin and MaxRunTime together is answered "may have run".
	MaxRunTime time.Duration
	// AnswerRetention is how long the body of an outcome is kept; its verdict and
	// status are kept for the whole window.
	AnswerRetention time.Duration
	// DecisionTimeout is how long a proposal waits for its decision.
	DecisionTimeout time.Duration
	// RetryAfter is told to callers who may come back.
	RetryAfter time.Duration
	// AppendTimeout is when an append without an answer counts as unknown.
	AppendTimeout time.Duration
	// AppendBackoff is the pause after a failed append.
	AppendBackoff time.Duration
	// ReadTimeout is when a read without an answer counts as failed.
	ReadTimeout time.Duration
	// ReadBackoff is the pause after a failed read.
	ReadBackoff time.Duration
	// ReadInterval is the pause between reads while nothing is waiting.
	ReadInterval time.Duration
	// ReadWait is how long a read waits for records while something is waiting.
	ReadWait time.Duration
	// MaxAnswers bounds how many answers are kept; the oldest goes first.
	MaxAnswers int
	// MaxKeys bounds the live keys of the shard; proposals above it are refused.
	MaxKeys int
	// MaxPending bounds the proposals and the outcomes that wait in the shard.
	MaxPending int
}

// Defaults of the Settings.
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

// Bounds of what goes into the log.
const (
	// MaxAnswerBytes is the longest answer body kept with an outcome; a longer
	// one is left out.
	MaxAnswerBytes = 512
	// MaxKeyBytes is the longest key.
	MaxKeyBytes = 256
	// MaxIDBytes is the longest request or instance id, and the longest reason.
	MaxIDBytes = 64
	// maxClaimDelay is how long a claim may be on its way to the log and still be
	// dispatched, at the longest: DispatchWithin doesn't exceed it. It is the
	// same for every reader.
	maxClaimDelay = 5 * time.Minute
	// maxBatchEntries bounds the entries of one append.
	maxBatchEntries = 64
	// maxRecordBytes is the longest record that is looked at.
	maxRecordBytes = 128 << 10
	// readLimit is the most records of one read.
	readLimit = 256
)

// withDefaults fills in what is zero and checks the rest.
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

// reader returns the settings for reading a shard's stream.
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
		return trace.BadParameter("claim: a key taken for %v and margin %v exceed the log's retention %v",
			s.keyHoldTime(), s.RetentionMargin, s.Retention)
	case s.DispatchWithin > maxClaimDelay:
		return trace.BadParameter("claim: dispatch within %v exceeds %v", s.DispatchWithin, maxClaimDelay)
	case s.MaxClockSkew >= s.Window:
		return trace.BadParameter("claim: window %v is not longer than the clock skew %v", s.Window, s.MaxClockSkew)
	}
	return nil
}

// maxRunEnd is how long after its claim a run may last: dispatched at the last
// moment, it takes RunFor.
func (s Settings) maxRunEnd() time.Duration { return s.DispatchWithin + s.MaxRunTime }

// keyHoldTime is how long a claim takes its key: the window, counted from the latest
// start of a run.
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
