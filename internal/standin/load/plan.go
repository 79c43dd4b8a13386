package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/prefix"
)

// Arrival is one planned request.
type Arrival struct {
	// Number is the index of the request in the run, from 0.
	Number int
	// Due is when the request is sent, relative to the start of the run.
	Due       time.Duration
	Target    string
	Profile   Profile
	Prompt    string
	MaxTokens int
	// Key is the request key, empty for none.
	Key string
}

// Plan draws the requests of a run from the seed, in the order in which they are due.
func Plan(s Settings) []Arrival {
	s = s.withDefaults()
	p := newPlanner(s)
	var out []Arrival
	due := time.Duration(0)
	for i := range s.Requests {
		due += time.Duration(p.random.ExpFloat64() / s.RatePerSec * float64(time.Second))
		if due > s.MaxTime {
			break
		}
		out = append(out, p.arrival(i, due))
	}
	return out
}

type planner struct {
	settings Settings
	random   *rand.Rand
	zipf     []*rand.Zipf // by profile
}

func newPlanner(s Settings) *planner {
	p := &planner{settings: s, random: rand.New(rand.NewPCG(s.Seed, 0))}
	for _, profile := range s.Profiles {
		p.zipf = append(p.zipf, rand.NewZipf(p.random, profile.ZipfExponent, 1, uint64(profile.Templates-1)))
	}
	return p
}

func (p *planner) arrival(n int, due time.Duration) Arrival {
	s := &p.settings
	index := p.drawProfile()
	a := Arrival{
		Number:  n,
		Due:     due,
		Target:  s.Targets[n%len(s.Targets)],
		Profile: s.Profiles[index],
	}
	if a.Profile.Call != nil {
		if a.Profile.Call.Keyed {
			a.Key = fmt.Sprintf("%s-%d", s.Run, n)
		}
		return a
	}
	template := p.zipf[index].Uint64()
	promptTokens := p.drawLength(a.Profile.Prompt)
	a.Prompt = text(fmt.Sprintf("%s/%d", a.Profile.Name, template), a.Profile.TemplateTokens) + text(fmt.Sprintf("%s-%d", s.Run, n), promptTokens)
	a.MaxTokens = p.drawLength(a.Profile.Output)
	return a
}

// drawProfile returns the index of a profile, chosen at random according to the weights.
func (p *planner) drawProfile() int {
	total := 0.0
	for _, profile := range p.settings.Profiles {
		total += profile.Weight
	}
	remaining := p.random.Float64() * total
	for i, profile := range p.settings.Profiles {
		remaining -= profile.Weight
		if remaining < 0 {
			return i
		}
	}
	return len(p.settings.Profiles) - 1
}

func (p *planner) drawLength(l Length) int {
	factor := math.Exp(p.random.NormFloat64() * l.Sigma)
	factor = min(max(factor, 1/l.Spread), l.Spread)
	return max(1, int(float64(l.Median)*factor))
}

// text returns a text of the given number of tokens that depends on name only. Shorter texts of a
// name are prefixes of longer ones.
func text(name string, tokens int) string {
	size := tokens * prefix.BytesPerToken
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s.%d ", name, i)
	}
	return b.String()[:size]
}
