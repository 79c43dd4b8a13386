// Package config holds the documents that operators publish: what they may
// contain, how they are parsed and checked, and how records of the
// configuration stream fold into the state that is in force.
package config

import "github.com/medlarhold/medlarhold/internal/core/entity"

// Kind names the type of a configuration object.
type Kind string

// The kinds of configuration object. An object is named by kind and name.
const (
	KindContract   Kind = "contract"   // one per organisation
	KindPool       Kind = "pool"       // a group of endpoints
	KindEndpoint   Kind = "endpoint"   // one engine or plain service
	KindModel      Kind = "model"      // a model and its versions
	KindDeployment Kind = "deployment" // tier names and order, score weights; name "default"
)

// Contract is what one organisation may use, how much it may send, and what
// it loses first under pressure.
type Contract struct {
	Organisation entity.OrgID `json:"organisation"`
	// Tiers lists the names of the tiers that the organisation may use.
	Tiers []string `json:"tiers"`
	// DefaultTier is taken when a request names none.
	DefaultTier string `json:"default_tier,omitempty"`
	// RequestsPerSec and Burst bound how much it may send, over all instances.
	RequestsPerSec float64 `json:"requests_per_sec"`
	Burst          int     `json:"burst"`
	// MaxConcurrent bounds its requests in flight, over all instances.
	MaxConcurrent int `json:"max_concurrent"`
	// ShedOrder orders the organisation's own work labels, the first lost first.
	ShedOrder []string `json:"lose_first,omitempty"`
	// KeyHashes are the SHA-256 hashes (hex) of its keys.
	KeyHashes []string `json:"key_hashes"`
}

// Pool is a group of endpoints that serve the same work.
type Pool struct {
	Name entity.PoolID       `json:"name"`
	Kind entity.EndpointKind `json:"kind"`
	// QueuePerEndpoint bounds the queue that an owner keeps, per endpoint it owns.
	QueuePerEndpoint int `json:"queue_per_endpoint"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// RetryBudget is the share of requests that may be tried again, 0 to 1.
	RetryBudget float64 `json:"retry_budget"`
	// NonIdempotent lists the calls of a plain service that may not be repeated.
	NonIdempotent []CallPattern `json:"non_idempotent,omitempty"`
}

// CallPattern matches calls of a plain service by method and path prefix.
type CallPattern struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// Endpoint is one engine or plain service.
type Endpoint struct {
	Name                entity.EndpointID  `json:"name"`
	Pool                entity.PoolID      `json:"pool"`
	Zone                entity.ZoneID      `json:"zone"`
	Address             string             `json:"address"`
	Models              []entity.ModelID   `json:"models,omitempty"`
	Adapters            []entity.AdapterID `json:"adapters,omitempty"`
	Slots               int                `json:"slots"`
	KVTokens            int                `json:"kv_tokens,omitempty"`
	WeightBytes         int64              `json:"weight_bytes,omitempty"` // memory for model weights; set, the system gives the engine orders
	Generation          string             `json:"generation,omitempty"`
	PrefillTokensPerSec float64            `json:"prefill_tokens_per_sec,omitempty"`
	DecodeTokensPerSec  float64            `json:"decode_tokens_per_sec,omitempty"`
	ChecksFencing       bool               `json:"checks_fencing,omitempty"`
	Leaving             bool               `json:"leaving,omitempty"`
}

// Model is a model that callers may name, and what serves it.
type Model struct {
	Name      entity.ModelID     `json:"name"`
	Pool      entity.PoolID      `json:"pool"`
	Version   string             `json:"version,omitempty"`
	Weights   string             `json:"weights,omitempty"` // name in the weight store
	MinCopies int                `json:"min_copies,omitempty"`
	Adapters  []entity.AdapterID `json:"adapters,omitempty"`
}

// Deployment is what holds for the whole system.
type Deployment struct {
	// Tiers lists the tier names from the highest to the lowest.
	Tiers []string `json:"tiers"`
	// Scores weights the two measures against each other.
	Scores ScoreWeights `json:"scores"`
}

// ScoreWeights says what a deployment values, each from 0 to 1.
type ScoreWeights struct {
	Goodput       float64 `json:"goodput"`
	WastedPrefill float64 `json:"wasted_prefill"`
}
