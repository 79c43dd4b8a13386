// Package config defines the configuration objects that operators publish. It
// parses and validates them, publishes changes to the configuration stream of
// the log service, and applies the records of that stream to the state that is
// in force. Snapshots of the state replace records that the log has dropped.
package config

import "github.com/medlarhold/medlarhold/internal/core/entity"

// Kind names the type of a configuration object.
type Kind string

// The kinds of configuration object. Kind and name identify an object.
const (
	KindContract   Kind = "contract"   // one per organisation
	KindPool       Kind = "pool"       // a group of endpoints
	KindEndpoint   Kind = "endpoint"   // one engine or plain service
	KindModel      Kind = "model"      // a model that callers may name
	KindDeployment Kind = "deployment" // tier names and order, score weights; name "default"
)

// Contract defines the tiers that one organisation may use, its request limits,
// and the order in which its work is shed under overload.
type Contract struct {
	Organisation entity.OrgID `json:"organisation"`
	// Tiers lists the names of the tiers that the organisation may use.
	Tiers []string `json:"tiers"`
	// DefaultTier is the tier of requests that name none.
	DefaultTier string `json:"default_tier,omitempty"`
	// RequestsPerSec and Burst limit its request rate, over all instances.
	RequestsPerSec float64 `json:"requests_per_sec"`
	Burst          int     `json:"burst"`
	// MaxConcurrent limits its requests in flight, over all instances.
	MaxConcurrent int `json:"max_concurrent"`
	// ShedOrder lists the organisation's work labels in the order in which
	// their requests are shed.
	ShedOrder []string `json:"lose_first,omitempty"`
	// KeyHashes are the SHA-256 hashes (hex) of the organisation's keys.
	KeyHashes []string `json:"key_hashes"`
}

// Pool is a group of endpoints that serve the same work.
type Pool struct {
	Name entity.PoolID       `json:"name"`
	Kind entity.EndpointKind `json:"kind"`
	// QueuePerEndpoint is the maximum length of an owner's queue per endpoint
	// that it owns.
	QueuePerEndpoint int `json:"queue_per_endpoint"`
	// MaxBodyBytes is the maximum size of a request's body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// RetryBudget is the share of requests that may be retried, from 0 to 1.
	RetryBudget float64 `json:"retry_budget"`
	// NonIdempotent lists the calls of a plain service that must not be repeated.
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
	WeightBytes         int64              `json:"weight_bytes,omitempty"` // memory for model weights; if set, the engine gets placement orders
	Generation          string             `json:"generation,omitempty"`
	PrefillTokensPerSec float64            `json:"prefill_tokens_per_sec,omitempty"`
	DecodeTokensPerSec  float64            `json:"decode_tokens_per_sec,omitempty"`
	ChecksFencing       bool               `json:"checks_fencing,omitempty"`
	Leaving             bool               `json:"leaving,omitempty"`
}

// Model is a model that callers may name, and the pool that serves it.
type Model struct {
	Name      entity.ModelID     `json:"name"`
	Pool      entity.PoolID      `json:"pool"`
	Version   string             `json:"version,omitempty"`
	Weights   string             `json:"weights,omitempty"` // name in the weight store
	MinCopies int                `json:"min_copies,omitempty"`
	Adapters  []entity.AdapterID `json:"adapters,omitempty"`
}

// Deployment holds the settings of the whole deployment.
type Deployment struct {
	// Tiers lists the tier names from the highest to the lowest.
	Tiers []string `json:"tiers"`
	// Scores holds the weights of goodput and wasted prefill.
	Scores ScoreWeights `json:"scores"`
}

// ScoreWeights are the weights of a deployment's optimisation goals, each from 0 to 1.
type ScoreWeights struct {
	Goodput       float64 `json:"goodput"`
	WastedPrefill float64 `json:"wasted_prefill"`
}
