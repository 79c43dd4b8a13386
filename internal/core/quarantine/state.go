package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// State is the part of an instance's records that another instance may lack. Times are
// sent as ages, because clocks differ.
type State struct {
	Crashes []Crash `json:"c,omitempty"`
	Sound   []Sound `json:"s,omitempty"`
}

// Crash is the record of a crash.
type Crash struct {
	Endpoint    entity.EndpointID `json:"e"`
	Incarnation int64             `json:"b,omitempty"`
	Age         time.Duration     `json:"a"`
	Runs        []Run             `json:"r"`
}

// Run is a lost run: the part of its own, and the other parts of its prompt if it is a
// suspect.
type Run struct {
	Own    entity.PartID   `json:"o"`
	Shared []entity.PartID `json:"p,omitempty"`
	// Request is the key of the request as a whole if the run is a suspect.
	Request entity.PartID `json:"q,omitempty"`
}

// Sound says how long ago a part was last found sound.
type Sound struct {
	Part entity.PartID `json:"p"`
	Age  time.Duration `json:"a"`
}

// Version returns the number of changes of the records. It is 0 while there are none.
func (t *Table) Version() uint64 { return t.version }

// StateSince returns the records that have changed since the given version, nil if none
// has.
func (t *Table) StateSince(now time.Time, version uint64) *State {
	if version >= t.version {
		return nil
	}
	s := &State{}
	for _, c := range t.sortedCrashes() {
		if c.version > version {
			s.Crashes = append(s.Crashes, c.message(now))
		}
	}
	for _, part := range slices.Sorted(maps.Keys(t.sound)) {
		if p := t.sound[part]; p.version > version {
			s.Sound = append(s.Sound, Sound{Part: part, Age: now.Sub(p.at)})
		}
	}
	if len(s.Crashes)+len(s.Sound) == 0 {
		return nil
	}
	return s
}

// Evidence returns the records from which the present quarantine follows.
func (t *Table) Evidence(now time.Time) *State {
	t.update()
	s := &State{}
	parts := make(map[entity.PartID]struct{})
	for _, c := range t.sortedCrashes() {
		if t.explains(c) == 0 {
			continue
		}
		s.Crashes = append(s.Crashes, c.message(now))
		for _, r := range c.runs {
			for _, part := range r.keys() {
				parts[part] = struct{}{}
			}
		}
	}
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		if p, ok := t.sound[part]; ok {
			s.Sound = append(s.Sound, Sound{Part: part, Age: now.Sub(p.at)})
		}
	}
	return s
}

// Older returns the records as they are after another d.
func (s *State) Older(d time.Duration) *State {
	out := &State{}
	for _, c := range s.Crashes {
		c.Age += d
		out.Crashes = append(out.Crashes, c)
	}
	for _, p := range s.Sound {
		p.Age += d
		out.Sound = append(out.Sound, p)
	}
	return out
}

// message returns the message form of a crash.
func (c *crash) message(now time.Time) Crash {
	m := Crash{Endpoint: c.engine.endpoint, Incarnation: c.engine.incarnation, Age: now.Sub(c.at)}
	for _, r := range c.runs {
		m.Runs = append(m.Runs, Run{Own: r.own, Shared: r.shared, Request: r.request})
	}
	return m
}

// Merge adds the records of another instance. Those beyond the bounds are ignored.
func (t *Table) Merge(now time.Time, s *State) {
	for _, m := range s.Crashes[:min(len(s.Crashes), maxCrashes)] {
		if m.Age < EvidenceFor {
			t.mergeCrash(now, m)
		}
	}
	for _, m := range s.Sound[:min(len(s.Sound), maxCrashes*maxRuns*maxParts)] {
		t.setSound(m.Part, now.Add(-max(0, m.Age)))
	}
}

func (t *Table) mergeCrash(now time.Time, m Crash) {
	at := now.Add(-max(0, m.Age))
	for _, r := range m.Runs[:min(len(m.Runs), maxRuns)] {
		t.addRun(engine{m.Endpoint, m.Incarnation}, at, run{own: r.Own, shared: r.Shared[:min(len(r.Shared), maxParts)], request: r.Request})
	}
}
