package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlarhold/medlarhold/internal/logs"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// maxLatencyMillis and latencyDigits set the range and precision of latencies.
	maxLatencyMillis = 10 * 60 * 1000
	latencyDigits    = 2
	// errorStatus is the first status of an answer that counts as an endpoint error.
	errorStatus = 500
)

// Builder collects log lines.
type Builder struct {
	lines, dropped int64
	seconds        map[int64]map[Outcome]int
	groups         map[Dimension]map[string]*group
	events         map[int]*eventState
	rollouts       map[int64]*rolloutState
	zones          map[string]string // by source
}

// group collects the calls of one rank, route, zone or organisation.
type group struct {
	outcomes map[Outcome]int
	first    *hdrhistogram.Histogram
}

// eventState collects the lines of one event.
type eventState struct {
	lines     int
	sources   map[string]bool
	perSecond map[int64]int
}

// rolloutState collects when instances put a configuration version in force.
type rolloutState struct{ at map[string]time.Time }

// NewBuilder returns a Builder without lines.
func NewBuilder() *Builder {
	return &Builder{
		seconds: make(map[int64]map[Outcome]int), groups: make(map[Dimension]map[string]*group),
		events: make(map[int]*eventState), rollouts: make(map[int64]*rolloutState), zones: make(map[string]string),
	}
}

// Add adds one log line.
func (b *Builder) Add(l *logs.Line) {
	b.lines++
	switch l.Event {
	case telemetry.EventCallEnded.ID:
		b.addCall(l)
		return
	case telemetry.EventLogLinesDropped.ID:
		b.dropped += l.Lines
	case telemetry.EventStarting.ID:
		b.zones[l.Source] = string(l.Zone)
	case telemetry.EventConfigApplied.ID:
		b.addRollout(l)
	}
	b.addEvent(l)
}

func (b *Builder) addCall(l *logs.Line) {
	outcome := outcomeOf(l)
	second := l.Time.Unix()
	if b.seconds[second] == nil {
		b.seconds[second] = make(map[Outcome]int)
	}
	b.seconds[second][outcome]++
	b.group(ByRank, fmt.Sprint(l.Rank)).add(outcome, l)
	b.group(ByRoute, l.Route).add(outcome, l)
	b.group(ByOrganisation, string(l.Organisation)).add(outcome, l)
	b.group(byInstance, l.Source).add(outcome, l)
}

func (b *Builder) group(d Dimension, name string) *group {
	if b.groups[d] == nil {
		b.groups[d] = make(map[string]*group)
	}
	g := b.groups[d][name]
	if g == nil {
		g = newGroup()
		b.groups[d][name] = g
	}
	return g
}

func newGroup() *group {
	return &group{outcomes: make(map[Outcome]int), first: hdrhistogram.New(1, maxLatencyMillis, latencyDigits)}
}

func (g *group) add(o Outcome, l *logs.Line) {
	g.outcomes[o]++
	if l.Verdict == verdict.Ran {
		// Values out of range are recorded as the largest one.
		_ = g.first.RecordValue(min(firstMillis(l), maxLatencyMillis))
	}
}

// merge adds the calls of another group.
func (g *group) merge(o *group) {
	for outcome, n := range o.outcomes {
		g.outcomes[outcome] += n
	}
	g.first.Merge(o.first)
}

// firstMillis returns the time from the arrival of a call to the first byte of its answer.
func firstMillis(l *logs.Line) int64 { return l.HeldMillis + l.FirstMillis }

// outcomeOf returns the outcome of a call.
func outcomeOf(l *logs.Line) Outcome {
	switch {
	case l.Verdict == verdict.NotRun:
		return Outcome{Kind: Refused, Reason: l.Reason}
	case l.Verdict != verdict.Ran:
		return Outcome{Kind: Failed, Reason: l.Reason}
	case l.Status >= errorStatus:
		return Outcome{Kind: EndpointError}
	case l.TargetMillis > 0 && firstMillis(l) > l.TargetMillis:
		return Outcome{Kind: Late}
	}
	return Outcome{Kind: Answered}
}

func (b *Builder) addEvent(l *logs.Line) {
	e := b.events[l.Event]
	if e == nil {
		e = &eventState{sources: make(map[string]bool), perSecond: make(map[int64]int)}
		b.events[l.Event] = e
	}
	e.lines++
	e.sources[l.Source] = true
	if !l.Time.IsZero() { // a line about dropped lines has no time
		e.perSecond[l.Time.Unix()]++
	}
}

func (b *Builder) addRollout(l *logs.Line) {
	number, ok := l.Version.(float64)
	if !ok {
		return
	}
	version := int64(number)
	r := b.rollouts[version]
	if r == nil {
		r = &rolloutState{at: make(map[string]time.Time)}
		b.rollouts[version] = r
	}
	if at, known := r.at[l.Source]; !known || l.Time.Before(at) {
		r.at[l.Source] = l.Time
	}
}

// byInstance is replaced by ByZone in the report: the zone of an instance may be known
// only after its calls.
const byInstance Dimension = "instance"

// zoneGroups returns the groups of the instances by zone.
func (b *Builder) zoneGroups() map[string]*group {
	out := make(map[string]*group)
	for source, g := range b.groups[byInstance] {
		zone := b.zones[source]
		if out[zone] == nil {
			out[zone] = newGroup()
		}
		out[zone].merge(g)
	}
	return out
}

// period returns the first and the last second of all lines.
func (b *Builder) period() (first, last int64) {
	all := slices.Collect(maps.Keys(b.seconds))
	for _, e := range b.events {
		all = slices.AppendSeq(all, maps.Keys(e.perSecond))
	}
	if len(all) == 0 {
		return 0, -1
	}
	return slices.Min(all), slices.Max(all)
}

// sortedKeys returns the keys of m in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
