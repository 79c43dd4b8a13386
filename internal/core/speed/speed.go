package speed

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// endpointWeight is the weight of a new sample in an endpoint's average.
	endpointWeight = 0.2
	// generationWeight is the weight of a new sample in a generation's average.
	generationWeight = 0.02
	// minPrefillTokens is the shortest prefill that is used as a sample. With fewer
	// tokens the time to the first token is mostly overhead.
	minPrefillTokens = 256
	// minDecodeTokens is the shortest answer that is used as a sample.
	minDecodeTokens = 8
	// slowRatio is the fraction of its generation's rate below which an endpoint
	// counts as slow.
	slowRatio = 0.5

	defaultPrefill = 4000 // tokens per second
	defaultDecode  = 40   // tokens per second and stream
)

// Rates are an endpoint's prefill and decode rates in tokens per second.
type Rates struct {
	Prefill float64
	Decode  float64 // per stream
}

// Estimator estimates the rates of endpoints and hardware generations.
type Estimator struct {
	endpoints   map[entity.EndpointID]Rates
	generations map[string]Rates
}

// New returns an Estimator without measurements.
func New() *Estimator {
	return &Estimator{
		endpoints:   make(map[entity.EndpointID]Rates),
		generations: make(map[string]Rates),
	}
}

// Rates returns the estimate for ep.
func (e *Estimator) Rates(ep *entity.Endpoint) Rates {
	r := Configured(ep)
	if ep.Generation != "" {
		r = e.generations[ep.Generation].orDefault(r)
	}
	return e.endpoints[ep.ID].orDefault(r)
}

// Observe updates the estimates with a finished request on ep.
func (e *Estimator) Observe(ep *entity.Endpoint, rel entity.Release) {
	s := sample(rel)
	e.endpoints[ep.ID] = e.endpoints[ep.ID].orDefault(e.Rates(ep)).movedToward(s, endpointWeight)
	if ep.Generation != "" {
		g := e.generations[ep.Generation].orDefault(Configured(ep))
		e.generations[ep.Generation] = g.movedToward(s, generationWeight)
	}
}

// Slow reports whether the estimate of ep is below slowRatio times that of its
// generation, for prefill or decode. It returns false while ep has no measurements.
func (e *Estimator) Slow(ep *entity.Endpoint) bool {
	own, ok := e.endpoints[ep.ID]
	if !ok {
		return false
	}
	g := e.generations[ep.Generation].orDefault(Configured(ep))
	return own.Decode < slowRatio*g.Decode || own.Prefill < slowRatio*g.Prefill
}

// Remove deletes the estimate of an endpoint.
func (e *Estimator) Remove(id entity.EndpointID) {
	delete(e.endpoints, id)
}

// PrefillTime returns how long it takes to process n prompt tokens.
func (r Rates) PrefillTime(n int) time.Duration {
	return seconds(float64(n) / r.Prefill)
}

// RunTime returns how long a request with the given uncached prompt tokens and
// answer tokens runs.
func (r Rates) RunTime(prompt, answer int) time.Duration {
	return seconds(float64(prompt)/r.Prefill + float64(answer)/r.Decode)
}

// orDefault replaces rates that are not set by those of fallback.
func (r Rates) orDefault(fallback Rates) Rates {
	if r.Prefill <= 0 {
		r.Prefill = fallback.Prefill
	}
	if r.Decode <= 0 {
		r.Decode = fallback.Decode
	}
	return r
}

// movedToward returns r after a new sample s of the given weight.
func (r Rates) movedToward(s Rates, weight float64) Rates {
	if s.Prefill > 0 {
		r.Prefill += weight * (s.Prefill - r.Prefill)
	}
	if s.Decode > 0 {
		r.Decode += weight * (s.Decode - r.Decode)
	}
	return r
}

// Configured returns the rates that ep was configured with, or the defaults.
func Configured(ep *entity.Endpoint) Rates {
	r := Rates{Prefill: ep.PrefillTokensPerSec, Decode: ep.DecodeTokensPerSec}
	return r.orDefault(Rates{Prefill: defaultPrefill, Decode: defaultDecode})
}

// sample returns the rates that a finished request measured, 0 where it was too
// short to measure one.
func sample(rel entity.Release) Rates {
	var s Rates
	if rel.PrefillTokens >= minPrefillTokens && rel.TimeToFirstToken > 0 {
		s.Prefill = float64(rel.PrefillTokens) / rel.TimeToFirstToken.Seconds()
	}
	if rel.GeneratedTokens >= minDecodeTokens && rel.DecodeTime > 0 {
		s.Decode = float64(rel.GeneratedTokens) / rel.DecodeTime.Seconds()
	}
	return s
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
