package measure

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	blockTokens = 64
	// spread is the sigma of the lognormal distribution of lengths; maxSpread limits
	// them as a multiple of the median.
	spread    = 1.0
	maxSpread = 30
	// lengthFactor is the additional time that callers wait, as a multiple of the
	// time that the work takes on an idle engine.
	lengthFactor = 2
	// A burst with burstRate times the mean rate begins every burstEvery and lasts
	// burstFor.
	burstEvery = 30 * time.Second
	burstFor   = 4 * time.Second
	burstRate  = 2.0
)

// arrival is one request with its actual needs, which the scheduler does not know.
type arrival struct {
	at           time.Duration
	kind         *kind
	work         entity.Work
	answerTokens int
	service      time.Duration
	entry        int
}

// timeout returns how long the caller waits: the deadline of the kind, and more for
// longer work, as no engine could answer that in time otherwise.
func (a *arrival) timeout() time.Duration {
	idle := float64(a.work.PromptTokens)/ratedPrefill + float64(a.work.MaxTokens)/ratedDecode
	return a.kind.deadline + time.Duration(lengthFactor*idle*float64(time.Second))
}

// generator generates the arrivals of one deployment.
type generator struct {
	d     *Deployment
	rng   *rand.Rand
	zipf  *rand.Zipf
	cases int
	out   []*arrival
}

// arrivals returns the requests that arrive within the given time, at load times the
// deployment's capacity.
func (d *Deployment) arrivals(seed int64, length time.Duration, load float64) []*arrival {
	rate := load / d.costPerCase(seed)
	g := newGenerator(d, seed)
	for at := time.Duration(0); at < length; {
		gap := g.rng.ExpFloat64() / (rate * burstFactor(at))
		at += time.Duration(gap * float64(time.Second))
		g.addCase(at)
	}
	slices.SortStableFunc(g.out, func(a, b *arrival) int { return int(a.at - b.at) })
	g.out = slices.DeleteFunc(g.out, func(a *arrival) bool { return a.at >= length })
	for i, a := range g.out {
		a.work.ID = entity.RequestID(fmt.Sprintf("r%06d", i))
	}
	return g.out
}

func newGenerator(d *Deployment, seed int64) *generator {
	rng := rand.New(rand.NewSource(seed))
	return &generator{d: d, rng: rng, zipf: rand.NewZipf(rng, 1.2, 2, uint64(d.templates-1))}
}

// burstFactor returns the arrival rate at a time, relative to the mean rate.
func burstFactor(at time.Duration) float64 {
	share := burstFor.Seconds() / burstEvery.Seconds()
	quiet := (1 - burstRate*share) / (1 - share)
	if at%burstEvery < burstFor {
		return burstRate
	}
	return quiet
}

// addCase adds the requests of one case that begins at the given time.
func (g *generator) addCase(at time.Duration) {
	g.cases++
	template := g.zipf.Uint64()
	document := g.length(g.d.document)
	org := g.org()
	for i := range g.d.kinds {
		k := &g.d.kinds[i]
		for range g.count(k.perCase) {
			a := g.request(k, template, document)
			a.work.Org = org
			a.at = at + time.Duration(g.rng.Float64()*float64(k.within))
			g.out = append(g.out, a)
		}
	}
}

func (g *generator) request(k *kind, template uint64, document int) *arrival {
	a := &arrival{kind: k, entry: g.rng.Intn(instances)}
	a.work = entity.Work{Tier: k.tier, Pool: plainPool, NonIdempotent: k.nonIdempotent}
	if k.service > 0 {
		a.service = time.Duration(g.lognormal() * float64(k.service))
		a.work.MaxTokens = 1
		return a
	}
	own := g.length(k.ownTokens)
	a.answerTokens = g.length(k.answerTokens)
	a.work.Pool, a.work.Model = enginePool, model
	a.work.MaxTokens = int(float64(a.answerTokens) * (1 + 0.5*g.rng.Float64()))
	chain := hashes(nil, template, g.d.templateTokens)
	if k.document {
		chain = hashes(chain, uint64(g.cases)<<20, document)
	}
	a.work.Prefix = hashes(chain, g.rng.Uint64(), own)
	a.work.PromptTokens = len(a.work.Prefix) * blockTokens
	return a
}

// hashes appends the block hashes of a text of the given length to a chain. Texts with the
// same id have the same hashes.
func hashes(chain []entity.BlockHash, id uint64, tokens int) []entity.BlockHash {
	for i := range (tokens + blockTokens - 1) / blockTokens {
		h := (id+1)*0x9e3779b97f4a7c15 + uint64(i)
		h ^= h >> 29
		chain = append(chain, entity.BlockHash(h*0xbf58476d1ce4e5b9))
	}
	return chain
}

func (g *generator) lognormal() float64 {
	return min(maxSpread, math.Exp(spread*g.rng.NormFloat64()))
}

// length draws a number of tokens with the given median.
func (g *generator) length(median int) int {
	return max(4, int(float64(median)*g.lognormal()))
}

// count draws an integer with the given mean.
func (g *generator) count(mean float64) int {
	n := int(mean)
	if g.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (g *generator) org() entity.OrgID {
	x := g.rng.Float64()
	for i, share := range g.d.orgs {
		if x -= share; x < 0 {
			return entity.OrgID(fmt.Sprintf("org-%d", i))
		}
	}
	return "org-0"
}

// costPerCase returns the mean time, in seconds of all engines together, that one case
// takes if every block is processed once and all batches and chunks are full. Prompts
// and answers use the same steps, so only the one that needs more steps counts. The
// deployment's capacity in cases per second is the inverse.
func (d *Deployment) costPerCase(seed int64) float64 {
	const sample = 4000
	g := newGenerator(d, seed+1)
	seen := make(map[entity.BlockHash]bool)
	tokens, answers := 0, 0
	for range sample {
		g.addCase(0)
	}
	for _, a := range g.out {
		for _, b := range a.work.Prefix {
			if !seen[b] {
				seen[b] = true
				tokens += blockTokens
			}
		}
		answers += a.answerTokens
	}
	step := (stepBase + engineSlots*stepPerStream + tokensTime(prefillChunk)).Seconds()
	busy := step * max(float64(tokens)/prefillChunk, float64(answers)/engineSlots)
	speed := 0.0
	for i := range d.engines {
		speed += generationSpeed(i)
	}
	return busy / sample / speed
}
