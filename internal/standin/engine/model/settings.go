package model

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/prefix"
)

// Settings describes an engine. Zero values select the defaults.
type Settings struct {
	// Models and Adapters are loaded at the start. An engine without Models serves every model.
	Models   []entity.ModelID   `json:"models,omitempty"`
	Adapters []entity.AdapterID `json:"adapters,omitempty"`
	// BlockTokens is the number of tokens in a block.
	BlockTokens int `json:"block_tokens,omitempty"`
	// KVTokens is the size of the KV memory in tokens.
	KVTokens int `json:"kv_tokens,omitempty"`
	// MaxRunning bounds the streams in the batch, MaxWaiting the queue.
	MaxRunning int `json:"max_running,omitempty"`
	MaxWaiting int `json:"max_waiting,omitempty"`
	// PrefillTokensPerSec is the speed of prompt processing.
	PrefillTokensPerSec float64 `json:"prefill_tokens_per_sec,omitempty"`
	// DecodeTokensPerSec is the speed of a stream that is alone in the batch.
	DecodeTokensPerSec float64 `json:"decode_tokens_per_sec,omitempty"`
	// BatchSlowdown is the fraction by which each further stream in the batch prolongs a decode
	// step.
	BatchSlowdown float64 `json:"batch_slowdown,omitempty"`
	// PrefillChunk bounds the prompt tokens of one iteration.
	PrefillChunk int `json:"prefill_chunk,omitempty"`
	// ImportTokensPerSec is the speed of KV transfer from another engine.
	ImportTokensPerSec float64 `json:"import_tokens_per_sec,omitempty"`
	// LoadLag is the age of load reports.
	LoadLag time.Duration `json:"load_lag_ns,omitempty"`
	// CacheEventDelay is the delay of cache events, CacheEventLoss the fraction of them that is
	// lost.
	CacheEventDelay time.Duration `json:"cache_event_delay_ns,omitempty"`
	CacheEventLoss  float64       `json:"cache_event_loss,omitempty"`
	// OrderTime is the time that loading a model or an adapter takes.
	OrderTime time.Duration `json:"order_time_ns,omitempty"`
	// ChecksFencing makes the engine refuse orders with an outdated fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Seed determines which cache events are lost.
	Seed uint64 `json:"seed,omitempty"`
}

// Defaults of Settings.
const (
	DefaultKVTokens            = 64_000
	DefaultMaxRunning          = 16
	DefaultMaxWaiting          = 64
	DefaultPrefillTokensPerSec = 8_000
	DefaultDecodeTokensPerSec  = 50
	DefaultBatchSlowdown       = 0.02
	DefaultPrefillChunk        = 512
	DefaultImportTokensPerSec  = 200_000
)

func (s Settings) withDefaults() Settings {
	s.BlockTokens = orDefault(s.BlockTokens, prefix.DefaultBlockTokens)
	s.KVTokens = orDefault(s.KVTokens, DefaultKVTokens)
	s.MaxRunning = orDefault(s.MaxRunning, DefaultMaxRunning)
	s.MaxWaiting = orDefault(s.MaxWaiting, DefaultMaxWaiting)
	s.PrefillTokensPerSec = orDefault(s.PrefillTokensPerSec, DefaultPrefillTokensPerSec)
	s.DecodeTokensPerSec = orDefault(s.DecodeTokensPerSec, DefaultDecodeTokensPerSec)
	s.BatchSlowdown = orDefault(s.BatchSlowdown, DefaultBatchSlowdown)
	s.PrefillChunk = orDefault(s.PrefillChunk, DefaultPrefillChunk)
	s.ImportTokensPerSec = orDefault(s.ImportTokensPerSec, DefaultImportTokensPerSec)
	return s
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// iterationTime returns the duration of an iteration with the given number of prompt tokens and
// decoding streams; slow is the factor of SetSlowdown.
func (s Settings) iterationTime(prefillTokens, decodes int, slow float64) time.Duration {
	seconds := float64(prefillTokens) / s.PrefillTokensPerSec
	if decodes > 0 {
		seconds += (1 + s.BatchSlowdown*float64(decodes-1)) / s.DecodeTokensPerSec
	}
	return time.Duration(seconds * slow * float64(time.Second))
}
