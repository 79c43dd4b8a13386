package load

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Settings describes a run.
type Settings struct {
	// Targets are the base URLs of the instances, used in turn.
	Targets []string `json:"targets"`
	// Run is part of the request keys, and of the prompts after their templates, so that runs with
	// different values do not share them.
	Run  string `json:"run"`
	Seed uint64 `json:"seed"`
	// RatePerSec is the mean rate of arrivals.
	RatePerSec float64 `json:"rate_per_sec"`
	// Requests and MaxTime bound the run; the first of them to be reached ends it. MaxTime bounds
	// the arrivals, not the answers to them.
	Requests int           `json:"requests"`
	MaxTime  time.Duration `json:"max_time_ns"`
	// MaxInFlight bounds the requests that wait for their answer. A request that is due while so
	// many wait is not sent.
	MaxInFlight int `json:"max_in_flight"`
	// DeadlineGrace is how long the load tool waits for an answer after the deadline of its
	// request.
	DeadlineGrace time.Duration `json:"patience_ns"`
	// Verify compares each answer with the one that the simulated engine gives to the prompt.
	Verify   bool      `json:"verify"`
	Profiles []Profile `json:"profiles"`
}

// Profile is one kind of request.
type Profile struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// Key is the organisation's key.
	Key      string        `json:"key"`
	Tier     string        `json:"tier"`
	Deadline time.Duration `json:"deadline_ns"`
	// Call is set for a profile of calls to a plain service.
	Call *Call `json:"call,omitempty"`

	Model   entity.ModelID   `json:"model,omitempty"`
	Adapter entity.AdapterID `json:"adapter,omitempty"`
	// NonStreaming asks for answers that are not streamed.
	NonStreaming bool `json:"whole,omitempty"`
	// Templates is the number of prompt prefixes, each TemplateTokens long. A prompt draws one
	// from a Zipf distribution with exponent ZipfExponent.
	Templates      int     `json:"templates,omitempty"`
	TemplateTokens int     `json:"template_tokens,omitempty"`
	ZipfExponent   float64 `json:"zipf_exponent,omitempty"`
	// Prompt is the length of the prompt after its template, Output the length of the answer.
	Prompt Length `json:"prompt"`
	Output Length `json:"output"`
}

// Call is a call to a plain service.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
	// Keyed sends a request key with the call.
	Keyed bool `json:"keyed,omitempty"`
}

// Length is a heavy-tailed length in tokens: a log-normal distribution that is clipped to the
// range from Median/Spread to Median*Spread.
type Length struct {
	Median int     `json:"median"`
	Sigma  float64 `json:"sigma"`
	Spread float64 `json:"spread"`
}

// Defaults of Settings.
const (
	DefaultMaxTime       = time.Minute
	DefaultMaxInFlight   = 2000
	DefaultDeadlineGrace = 10 * time.Second
	DefaultDeadline      = 30 * time.Second
	DefaultZipfExponent  = 1.2
	DefaultSpread        = 100
)

func (s Settings) withDefaults() Settings {
	s.MaxTime = orDefault(s.MaxTime, DefaultMaxTime)
	s.MaxInFlight = orDefault(s.MaxInFlight, DefaultMaxInFlight)
	s.DeadlineGrace = orDefault(s.DeadlineGrace, DefaultDeadlineGrace)
	profiles := make([]Profile, len(s.Profiles))
	for i, p := range s.Profiles {
		p.Deadline = orDefault(p.Deadline, DefaultDeadline)
		p.ZipfExponent = orDefault(p.ZipfExponent, DefaultZipfExponent)
		p.Weight = orDefault(p.Weight, 1)
		p.Templates = orDefault(p.Templates, 1)
		p.Prompt.Spread = orDefault(p.Prompt.Spread, DefaultSpread)
		p.Output.Spread = orDefault(p.Output.Spread, DefaultSpread)
		profiles[i] = p
	}
	s.Profiles = profiles
	return s
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Check returns an error if the settings are invalid.
func (s Settings) Check() error {
	switch {
	case len(s.Targets) == 0:
		return trace.BadParameter("load: no targets")
	case s.RatePerSec <= 0 || s.Requests <= 0:
		return trace.BadParameter("load: rate_per_sec and requests must be above zero")
	case len(s.Profiles) == 0:
		return trace.BadParameter("load: no profiles")
	}
	for _, p := range s.Profiles {
		switch {
		case p.Weight < 0:
			return trace.BadParameter("load: profile %q: weight below zero", p.Name)
		case p.Call == nil && (p.Prompt.Median <= 0 || p.Output.Median <= 0):
			return trace.BadParameter("load: profile %q: prompt and output need a median", p.Name)
		case p.ZipfExponent != 0 && p.ZipfExponent <= 1:
			return trace.BadParameter("load: profile %q: zipf_exponent must be above 1", p.Name)
		}
	}
	return nil
}
