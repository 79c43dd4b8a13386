package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Kind is the kind of a call's outcome; see the package comment.
type Kind string

// The kinds of outcomes.
const (
	Answered      Kind = "answered"
	Late          Kind = "late"
	EndpointError Kind = "endpoint error"
	Refused       Kind = "refused"
	Failed        Kind = "failed"
)

// Outcome is how a call ended.
type Outcome struct {
	Kind Kind `json:"kind"`
	// Reason is set for refused and failed calls.
	Reason verdict.Reason `json:"reason,omitempty"`
}

// String returns the outcome in words.
func (o Outcome) String() string {
	if o.Reason == "" {
		return string(o.Kind)
	}
	return string(o.Kind) + ": " + string(o.Reason)
}

// Dimension is a property by which calls are grouped.
type Dimension string

// The dimensions.
const (
	ByRank         Dimension = "rank"
	ByRoute        Dimension = "route"
	ByZone         Dimension = "zone"
	ByOrganisation Dimension = "organisation"
)

// Report holds the figures of a period.
type Report struct {
	// From is the first second of the logs. Seconds has an element for each second
	// since then, also for those without calls.
	From    time.Time `json:"from"`
	Seconds []Second  `json:"seconds"`
	// Lines is the number of log lines, DroppedLines of those that instances dropped.
	Lines        int64 `json:"lines"`
	DroppedLines int64 `json:"dropped_lines"`
	// Outcomes counts all calls by outcome, the most frequent first.
	Outcomes []OutcomeCount        `json:"outcomes"`
	Groups   map[Dimension][]Group `json:"groups"`
	Events   []Event               `json:"events"`
	Rollouts []Rollout             `json:"rollouts"`
}

// Second counts the calls that ended in one second.
type Second struct {
	Outcomes []OutcomeCount `json:"outcomes,omitempty"`
}

// Of returns the number of calls with an outcome of one of the kinds.
func (s Second) Of(kinds ...Kind) int { return sum(s.Outcomes, kinds...) }

// with returns the number of calls with an outcome.
func (s Second) with(o Outcome) int {
	for _, c := range s.Outcomes {
		if c.Outcome == o {
			return c.Calls
		}
	}
	return 0
}

// OutcomeCount is the number of calls with an outcome.
type OutcomeCount struct {
	Outcome
	Calls int `json:"calls"`
}

// Group sums up the calls of one rank, route, zone or organisation.
type Group struct {
	Name     string         `json:"name"`
	Calls    int            `json:"calls"`
	Outcomes []OutcomeCount `json:"outcomes"`
	// P50Ms, P95Ms and P99Ms are percentiles of the time to the first byte of an
	// endpoint's answer.
	P50Ms int64 `json:"p50_ms"`
	P95Ms int64 `json:"p95_ms"`
	P99Ms int64 `json:"p99_ms"`
}

// Share returns the share of the group's calls with an outcome of the kind.
func (g Group) Share(kind Kind) float64 {
	if g.Calls == 0 {
		return 0
	}
	return float64(sum(g.Outcomes, kind)) / float64(g.Calls)
}

// Event counts the lines of one event.
type Event struct {
	Number  int    `json:"number"`
	Message string `json:"message"`
	Lines   int    `json:"lines"`
	// Instances is the number of instances that wrote it.
	Instances int `json:"instances"`
	// Seconds holds the offsets from the start of the report, in seconds, of the seconds
	// with a line, and PerSecond the number of lines in each.
	Seconds   []int `json:"seconds"`
	PerSecond []int `json:"per_second"`
}

// Rollout is how a configuration version reached the instances.
type Rollout struct {
	Version   int64     `json:"version"`
	Instances int       `json:"instances"`
	First     time.Time `json:"first"`
	// HalfMs and AllMs are how long after First half of those instances, and the last,
	// had it in force. An instance that started later counts too.
	HalfMs int64 `json:"half_ms"`
	AllMs  int64 `json:"all_ms"`
}

// Report returns the figures of the lines added so far.
func (b *Builder) Report() *Report {
	first, last := b.period()
	r := &Report{From: time.Unix(first, 0).UTC(), Lines: b.lines, DroppedLines: b.dropped, Groups: make(map[Dimension][]Group)}
	total := make(map[Outcome]int)
	for second := first; second <= last; second++ {
		r.Seconds = append(r.Seconds, Second{Outcomes: counts(b.seconds[second])})
		for o, n := range b.seconds[second] {
			total[o] += n
		}
	}
	r.Outcomes = counts(total)
	for _, d := range []Dimension{ByRank, ByRoute, ByOrganisation} {
		r.Groups[d] = groupsOf(b.groups[d])
	}
	r.Groups[ByZone] = groupsOf(b.zoneGroups())
	r.Events = b.eventsSince(first)
	r.Rollouts = b.rolloutsInOrder()
	return r
}

// counts returns the counts by outcome, the largest first.
func counts(byOutcome map[Outcome]int) []OutcomeCount {
	var out []OutcomeCount
	for o, n := range byOutcome {
		out = append(out, OutcomeCount{o, n})
	}
	slices.SortFunc(out, func(x, y OutcomeCount) int {
		return cmp.Or(cmp.Compare(y.Calls, x.Calls), cmp.Compare(x.String(), y.String()))
	})
	return out
}

func sum(counts []OutcomeCount, kinds ...Kind) int {
	n := 0
	for _, c := range counts {
		if slices.Contains(kinds, c.Kind) {
			n += c.Calls
		}
	}
	return n
}

func groupsOf(groups map[string]*group) []Group {
	var out []Group
	for _, name := range sortedKeys(groups) {
		g := groups[name]
		s := Group{
			Name: name, Outcomes: counts(g.outcomes),
			P50Ms: g.first.ValueAtQuantile(50), P95Ms: g.first.ValueAtQuantile(95), P99Ms: g.first.ValueAtQuantile(99),
		}
		for _, n := range g.outcomes {
			s.Calls += n
		}
		out = append(out, s)
	}
	return out
}

func (b *Builder) eventsSince(first int64) []Event {
	var out []Event
	for _, id := range sortedKeys(b.events) {
		e := Event{Number: id, Message: telemetry.MessageOf(id), Lines: b.events[id].lines, Instances: len(b.events[id].sources)}
		for _, second := range sortedKeys(b.events[id].perSecond) {
			e.Seconds = append(e.Seconds, int(second-first))
			e.PerSecond = append(e.PerSecond, b.events[id].perSecond[second])
		}
		out = append(out, e)
	}
	return out
}

func (b *Builder) rolloutsInOrder() []Rollout {
	var out []Rollout
	for _, version := range sortedKeys(b.rollouts) {
		var at []time.Time
		for _, t := range b.rollouts[version].at {
			at = append(at, t)
		}
		slices.SortFunc(at, time.Time.Compare)
		out = append(out, Rollout{
			Version: version, Instances: len(at), First: at[0],
			HalfMs: at[len(at)/2].Sub(at[0]).Milliseconds(), AllMs: at[len(at)-1].Sub(at[0]).Milliseconds(),
		})
	}
	return out
}
