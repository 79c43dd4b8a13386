package entity

import "time"

// Outgoing is a message to be sent to an instance.
type Outgoing struct {
	Instance InstanceID
	Message  any
}

// Reservation asks the owner of endpoints for a slot on one of them. It always
// belongs to one request: no slots are reserved in advance.
type Reservation struct {
	Work Work
	// From is the entry instance that holds the caller's connection. It alone
	// dispatches, once, after the owner has granted a slot.
	From InstanceID
	// Seq numbers the request's reservations over all owners. Answers to a
	// reservation, and messages that follow from its grant, carry the same
	// number, so that delayed and duplicate messages are recognised.
	Seq uint32
	// Resume is the endpoint that holds the request's paused stream; empty for
	// a request that was never dispatched.
	Resume EndpointID
	// NoWait asks for an immediate grant or refusal; otherwise the owner may
	// queue the work.
	NoWait bool
}

// Grant is the owner's positive answer to a Reservation: the entry may dispatch
// to the endpoint now.
type Grant struct {
	ID       RequestID  `json:"i"`
	Seq      uint32     `json:"q,omitempty"`
	Endpoint EndpointID `json:"e"`
	// CachedTokens is the owner's estimate of the number of prompt tokens in
	// the engine's prefix cache.
	CachedTokens int `json:"c,omitempty"`
	// ImportFrom is an engine from which to import KV cache before the
	// dispatch; empty for none.
	ImportFrom EndpointID `json:"f,omitempty"`
}

// Refusal is the owner's negative answer to a Reservation. It also guarantees
// that on the owner's endpoints that could serve the request no work below tier
// Floor is running, and that none will be granted a slot for FloorFor, counted
// from the time the entry sent the Reservation.
type Refusal struct {
	ID         RequestID     `json:"i"`
	Seq        uint32        `json:"q,omitempty"`
	Floor      Tier          `json:"f,omitempty"`
	FloorFor   time.Duration `json:"u,omitempty"`
	RetryAfter time.Duration `json:"r,omitempty"`
	// EndpointsDigest is the digest of the endpoints that the guarantee covers.
	// An entry that knows another set must not rely on the guarantee.
	EndpointsDigest uint64 `json:"c,omitempty"`
	// Infeasible is set if the deadline could not be met even on idle endpoints.
	Infeasible bool `json:"x,omitempty"`
}

// Preemption tells the entry instance that a granted request must release its
// slot to a higher tier. With Pause the stream is kept on the engine, to be
// resumed later; otherwise it is cancelled.
type Preemption struct {
	ID RequestID `json:"i"`
	// Seq is that of the revoked grant.
	Seq   uint32 `json:"q,omitempty"`
	Pause bool   `json:"p,omitempty"`
}

// Release returns a granted slot to the owner and reports how the request ended.
type Release struct {
	ID RequestID `json:"i"`
	// Seq is that of the latest reservation that ends with this release.
	Seq      uint32     `json:"q,omitempty"`
	Endpoint EndpointID `json:"e"`
	// Unused is set if the grant came too late and nothing was dispatched.
	Unused bool `json:"u,omitempty"`
	// Paused is set if the stream is paused on the engine, to be resumed.
	Paused bool `json:"p,omitempty"`
	// MayBeRunning is set if the endpoint may still be processing the request:
	// the entry has abandoned it but could not cancel it, so the slot is not
	// free yet.
	MayBeRunning bool `json:"w,omitempty"`
	// Failed is set if the endpoint did not answer correctly.
	Failed bool `json:"x,omitempty"`
	// PrefillTokens is the number of prompt tokens that the engine processed,
	// without those from its cache.
	PrefillTokens    int           `json:"n,omitempty"`
	GeneratedTokens  int           `json:"g,omitempty"`
	TimeToFirstToken time.Duration `json:"t,omitempty"`
	DecodeTime       time.Duration `json:"d,omitempty"`
}

// LoadReport is an endpoint's report of its own load. It describes a past state,
// at time At.
type LoadReport struct {
	Endpoint EndpointID
	At       time.Time
	Running  int
	Waiting  int
	KVTokens int
}

// CacheEvent is one change of an engine's prefix cache. Events may arrive late
// and some are lost. The engine numbers them consecutively by Seq, so that a
// gap shows a loss.
type CacheEvent struct {
	Endpoint EndpointID
	Seq      uint64
	Stored   []BlockHash
	Evicted  []BlockHash
	Cleared  bool
}

// HeldSlot is a slot that an entry instance's work already occupies on an
// endpoint. Entries send it to an instance that has become the endpoint's owner.
type HeldSlot struct {
	Work     Work
	From     InstanceID
	Seq      uint32
	Endpoint EndpointID
	// Paused is set if the stream is paused on the engine, to be resumed.
	Paused bool
}
