package entity

import "time"

// Outgoing is a message and the instance it goes to.
type Outgoing struct {
	Instance InstanceID
	Message  any
}

// Reservation asks the owner of endpoints for a slot on one of them. It rides
// on the request it is for: no request, no reservation.
type Reservation struct {
	Work Work
	// From is the entry instance that holds the caller's connection. It alone
	// dispatches, once, after the owner has granted a slot.
	From InstanceID
	// Seq numbers the questions of the request, over all owners. What
	// answers a question or follows from its grant carries the number, so that
	// a message that was overtaken or repeated is known as such.
	Seq uint32
	// Resume names the endpoint that holds the request's paused stream; empty
	// for a request that was never dispatched.
	Resume EndpointID
	// NoWait asks for a slot at once or a refusal; without it the owner may
	// queue the work.
	NoWait bool
}

// Grant is the owner's answer "you may dispatch to this endpoint now".
type Grant struct {
	ID       RequestID  `json:"i"`
	Seq      uint32     `json:"q,omitempty"`
	Endpoint EndpointID `json:"e"`
	// CachedTokens is the owner's estimate of the prompt tokens that the
	// engine already holds.
	CachedTokens int `json:"c,omitempty"`
	// ImportFrom names an engine from which to move KV cache before the
	// dispatch; empty for none.
	ImportFrom EndpointID `json:"f,omitempty"`
}

// Refusal is the owner's answer "not here". It is also a promise: on no
// endpoint of this owner that could serve the request does anything below
// Floor run now, and nothing below it will be granted for FloorFor, counted
// from when the asker sent its question.
type Refusal struct {
	ID         RequestID     `json:"i"`
	Seq        uint32        `json:"q,omitempty"`
	Floor      Tier          `json:"f,omitempty"`
	FloorFor   time.Duration `json:"u,omitempty"`
	RetryAfter time.Duration `json:"r,omitempty"`
	// EndpointsDigest is the digest of the endpoints that the promise is for. An asker
	// that knows of another set must not build on the promise.
	EndpointsDigest uint64 `json:"c,omitempty"`
	// Infeasible says that the deadline could not be met even with no one else here.
	Infeasible bool `json:"x,omitempty"`
}

// Preemption tells the entry instance that a granted request must give its
// slot back to a higher tier. Pause keeps the stream on the engine to be
// resumed later; otherwise it is cancelled.
type Preemption struct {
	ID RequestID `json:"i"`
	// Seq is the one whose grant is taken back.
	Seq   uint32 `json:"q,omitempty"`
	Pause bool   `json:"p,omitempty"`
}

// Release gives a granted slot back and reports how it went.
type Release struct {
	ID RequestID `json:"i"`
	// Seq is the latest one that is over with this.
	Seq      uint32     `json:"q,omitempty"`
	Endpoint EndpointID `json:"e"`
	// Unused says that the grant came too late and nothing was dispatched.
	Unused bool `json:"u,omitempty"`
	// Paused says that the stream waits on the engine to be resumed.
	Paused bool `json:"p,omitempty"`
	// MayBeRunning says that the endpoint may still work on the request, which its
	// entry has given up on and could not cancel: the slot is not free yet.
	MayBeRunning bool `json:"w,omitempty"`
	// Failed says that the endpoint did not answer as it should.
	Failed bool `json:"x,omitempty"`
	// PrefillTokens is what the engine really processed of the prompt.
	PrefillTokens    int           `json:"n,omitempty"`
	GeneratedTokens  int           `json:"g,omitempty"`
	TimeToFirstToken time.Duration `json:"t,omitempty"`
	DecodeTime       time.Duration `json:"d,omitempty"`
}

// LoadReport is what an endpoint said of itself; it lags.
type LoadReport struct {
	Endpoint EndpointID
	At       time.Time
	Running  int
	Waiting  int
	KVTokens int
}

// CacheEvent is one change of an engine's prefix cache. Events arrive late
// and with gaps; Seq counts without gaps at the engine.
type CacheEvent struct {
	Endpoint EndpointID
	Seq      uint64
	Stored   []BlockHash
	Evicted  []BlockHash
	Cleared  bool
}

// HeldSlot is work that an entry instance already runs on an endpoint. Entries
// send it to an instance that has become the endpoint's owner.
type HeldSlot struct {
	Work     Work
	From     InstanceID
	Seq      uint32
	Endpoint EndpointID
	// Paused says that the stream waits on the engine to be resumed.
	Paused bool
}
