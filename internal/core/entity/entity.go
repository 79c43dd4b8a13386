// Package entity defines the data types shared by the packages of the decision
// core: instances, availability zones, organisations, pools, endpoints, models,
// tiers and requests, and the messages between entry instances and the owners
// of endpoints. It holds plain data only, no behaviour.
//
// The core has no I/O, no clock and no goroutine of its own. Each of its
// packages is a state machine driven by typed messages and by Tick(now), and
// returns its output in batches, usually by a method Ready. Callers pass in the
// time and the random source.
package entity

import "time"

// InstanceID identifies one running process of the system. A restarted process
// has a new one.
type InstanceID string

// ZoneID identifies an availability zone.
type ZoneID string

// RegionID identifies a group of availability zones.
type RegionID string

// OrgID identifies an organisation.
type OrgID string

// PoolID identifies a group of endpoints that serve the same work.
type PoolID string

// EndpointID identifies one model engine or plain service.
type EndpointID string

// ModelID identifies a model; empty for plain services.
type ModelID string

// AdapterID identifies an adapter of a model; empty for none.
type AdapterID string

// RequestID identifies one request of a caller. It is never reused.
type RequestID string

// Tier is the rank of a request: 0 is the highest and is shed last.
type Tier int

// BlockHash is the chained hash of one block of prompt tokens with all blocks
// before it, so that equal hashes mean equal prefixes.
type BlockHash uint64

// PartID identifies a part of a prompt. Prompts with equal parts share their text.
type PartID string

// EndpointKind is the kind of an endpoint.
type EndpointKind string

// The kinds of endpoint.
const (
	// KindEngine is a model engine: it batches requests, streams answers, and
	// can pause and resume a stream.
	KindEngine EndpointKind = "engine"
	// KindService is a plain service: each call has one answer and is never
	// preempted.
	KindService EndpointKind = "service"
)

// Endpoint is one row of the endpoint table, as configuration or discovery describes it.
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
	// KVTokens is the maximum number of tokens (prompt and answer) that the
	// engine's KV cache holds at the same time; zero means no bound.
	KVTokens int
	// WeightBytes is the engine's memory for model weights. Zero means that the
	// system sends it no orders to load or unload models: it serves exactly the
	// models listed.
	WeightBytes int64
	// Generation is the hardware generation, used for speed estimates.
	Generation string
	// PrefillTokensPerSec and DecodeTokensPerSec (per stream) are initial
	// estimates of the engine's speed, corrected by measurements.
	PrefillTokensPerSec float64
	DecodeTokensPerSec  float64
	// ChecksFencing is set if the endpoint refuses orders with an outdated fencing number.
	ChecksFencing bool
	// Leaving is set if the endpoint is being removed and takes no new work.
	Leaving bool
}

// Instance is one row of the instance table.
type Instance struct {
	ID     InstanceID
	Zone   ZoneID
	Region RegionID
	// PeerAddress is the address for other instances, host:port.
	PeerAddress string
	// AdminAddress is the address for operators, host:port. Only the platform
	// list contains it.
	AdminAddress string
	// Capacity is the processor time that the instance has, in thousandths of a
	// core; 0 if unknown. Roles in a zone preferably go to instances with a
	// large capacity.
	Capacity int `json:",omitempty"`
	// Leaving is set once the instance has announced that it is stopping.
	Leaving bool
}

// Work contains the properties of a request on which decisions depend. The
// prompt and the body stay at the entry instance.
type Work struct {
	ID      RequestID
	Org     OrgID
	Pool    PoolID
	Model   ModelID
	Adapter AdapterID
	Tier    Tier
	// Prefix holds the chained hashes of the prompt's blocks, in order.
	Prefix []BlockHash
	// PromptTokens and MaxTokens are estimates of the work to be done.
	PromptTokens int
	MaxTokens    int
	// Deadline is the time after which the answer is of no use to the caller.
	Deadline time.Time
	// NonIdempotent work must not be repeated and can't be preempted.
	NonIdempotent bool
	// ShedRank orders the organisation's own work of the same tier for shedding:
	// 0 is shed last.
	ShedRank int
}
