// Package entity names the things that the decision core keeps in its tables:
// instances, availability zones, organisations, pools, endpoints, models,
// tiers and requests. It holds plain data only, no behaviour.
//
// The core has no I/O, no clock and no goroutine of its own. Each of its
// packages is stepped by typed messages and by Tick(now), and hands out what
// is to be done as a batch, in the manner of a Ready. Callers pass the time
// and the randomness in.
package entity

import "time"

// InstanceID names one running process of the system, unique over restarts.
type InstanceID string

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a group of availability zones.
type RegionID string

// OrgID names an organisation.
type OrgID string

// PoolID names a group of endpoints that serve the same work.
type PoolID string

// EndpointID names one model engine or plain service.
type EndpointID string

// ModelID names a model; empty for plain services.
type ModelID string

// AdapterID names an adapter on top of a model; empty for none.
type AdapterID string

// RequestID names one request of a caller, unique for all time.
type RequestID string

// Tier is the rank of a request: 0 is the highest and is shed last.
type Tier int

// BlockHash is the chained hash of one block of prompt tokens with all blocks
// before it, so that equal hashes mean equal prefixes.
type BlockHash uint64

// EndpointKind tells model engines from plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	// KindEngine is a model engine: batched, streamed, can pause and resume.
	KindEngine EndpointKind = "engine"
	// KindService is a plain service: one call, one answer, never interrupted.
	KindService EndpointKind = "service"
)

// Endpoint is one row of the endpoint table, as configuration describes it.
type Endpoint struct {
	ID       EndpointID
	Pool     PoolID
	Zone     ZoneID
	Kind     EndpointKind
	Address  string // host:port
	Models   []ModelID
	Adapters []AdapterID
	// Slots is how many requests may run on the endpoint at the same time.
	Slots int
	// KVTokens bounds the tokens (prompt and answer) that fit the engine's
	// memory at the same time; zero means no bound.
	KVTokens int
	// WeightBytes is the engine's memory for model weights. Zero means that the
	// system gives it no orders and it holds just the models listed.
	WeightBytes int64
	// Generation names the hardware generation, for speed estimates.
	Generation string
	// PrefillTokensPerSec and DecodeTokensPerSec (per stream) are first
	// estimates of the engine's speed, corrected by what is measured.
	PrefillTokensPerSec float64
	DecodeTokensPerSec  float64
	// ChecksFencing says that the endpoint refuses orders with an old fencing number.
	ChecksFencing bool
	// Leaving is set when the endpoint is going away and takes no new work.
	Leaving bool
}

// Instance is one row of the instance table.
type Instance struct {
	ID     InstanceID
	Zone   ZoneID
	Region RegionID
	// PeerAddress is where other instances reach it, host:port.
	PeerAddress string
	// AdminAddress is where operators reach it, host:port. Only the platform's
	// list carries it.
	AdminAddress string
	// Capacity is the processor time that the instance has, in thousandths of a
	// core; 0 if not stated. Roles in a zone go to instances that have much.
	Capacity int `json:",omitempty"`
	// Leaving is set when the instance has said that it is stopping.
	Leaving bool
}

// Work describes a request as far as decisions need it. Its prompt and body
// stay with the entry instance.
type Work struct {
	ID      RequestID
	Org     OrgID
	Pool    PoolID
	Model   ModelID
	Adapter AdapterID
	Tier    Tier
	// Prefix is the chain of block hashes of the prompt.
	Prefix []BlockHash
	// PromptTokens and MaxTokens are estimates of the work to be done.
	PromptTokens int
	MaxTokens    int
	// Deadline is when the answer loses its use to the caller.
	Deadline time.Time
	// NonIdempotent work may not be repeated and can't be preempted.
	NonIdempotent bool
	// ShedRank says how early the organisation gives this work up among its own
	// work of the same tier: 0 is given up last.
	ShedRank int
}
