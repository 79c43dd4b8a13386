package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// EvidenceFor is how long a crash is remembered.
const EvidenceFor = 10 * time.Minute

// Quarantined is a part of prompts, or a request, that must not be sent to endpoints.
type Quarantined struct {
	// Part is the part or the key of the request, see IsRequest.
	Part entity.PartID
	// Crashes is the number of crashes that it explains, LastCrash the time of the latest.
	Crashes   int
	LastCrash time.Time
}

// Change is a part that was quarantined, or released if Released is set.
type Change struct {
	Quarantined
	Released bool
}

// Table holds what an instance knows of crashes and of sound parts, and the quarantine that
// follows from it.
type Table struct {
	crashes []*crash
	// newest holds the time of the newest crash that each key may be blamed for.
	newest map[entity.PartID]time.Time
	// sound holds when a part in the records was last found sound, by any instance.
	sound map[entity.PartID]soundPart
	// served holds what this instance itself has found sound.
	served served
	// servedRequests holds which requests this instance itself has served.
	servedRequests served
	quarantined    map[entity.PartID]Quarantined
	trials         trials
	// version counts the changes of the records. stale is set while quarantined, newest and
	// sound don't follow from them.
	version uint64
	stale   bool
	changes []Change
}

// soundPart is when a part was found sound.
type soundPart struct {
	at      time.Time
	version uint64
}

// New returns an empty Table.
func New() *Table {
	return &Table{
		newest: make(map[entity.PartID]time.Time), sound: make(map[entity.PartID]soundPart),
		quarantined: make(map[entity.PartID]Quarantined),
	}
}

// RecordLoss records that a run of this instance was lost with its engine.
func (t *Table) RecordLoss(now time.Time, l Loss) {
	if l.Answering >= SoundAfter {
		t.RecordAnswer(now, l.Parts, l.Key)
	}
	t.addRun(engine{l.Endpoint, l.Incarnation}, now, runOf(l))
}

// RecordAnswer records that an answer to a prompt with these parts, and to the request with this
// key unless it is empty, has been arriving for SoundAfter, or is complete.
func (t *Table) RecordAnswer(now time.Time, parts []entity.PartID, request entity.PartID) {
	if request != "" {
		t.servedRequests.record(now, request)
		t.setSound(request, now)
	}
	for _, part := range parts[:max(0, len(parts)-1)] {
		t.served.record(now, part)
		t.setSound(part, now)
	}
}

// Expire forgets crashes that are older than EvidenceFor.
func (t *Table) Expire(now time.Time) {
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) >= EvidenceFor })
	t.stale = t.stale || len(t.crashes) != before
}

// Quarantined returns the quarantined parts, ordered by id.
func (t *Table) Quarantined() []Quarantined {
	t.update()
	out := make([]Quarantined, 0, len(t.quarantined))
	for _, part := range slices.Sorted(maps.Keys(t.quarantined)) {
		out = append(out, t.quarantined[part])
	}
	return out
}

// Changes returns and clears the changes of the quarantine, in order.
func (t *Table) Changes() []Change {
	t.update()
	out := t.changes
	t.changes = nil
	return out
}

// addRun adds a run to the crash of its engine.
func (t *Table) addRun(e engine, at time.Time, r run) {
	c := t.crashOf(e, at)
	if c == nil {
		c = &crash{engine: e, at: at}
		t.crashes = append(t.crashes, c)
	}
	if !c.add(r) {
		return
	}
	if at.Before(c.at) {
		c.at = at
	}
	t.version++
	c.version, t.stale = t.version, true
	for _, key := range r.keys() {
		if c.at.After(t.newest[key]) {
			t.newest[key] = c.at
		}
		if at, ok := t.servedAt(key); ok {
			t.setSound(key, at)
		}
	}
	if len(t.crashes) > maxCrashes {
		least := t.leastUseful()
		t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return c == least })
		t.stale = true
	}
}

// servedAt returns when this instance last found a key sound.
func (t *Table) servedAt(key entity.PartID) (time.Time, bool) {
	if IsRequest(key) {
		return t.servedRequests.at(key)
	}
	return t.served.at(key)
}

// crashOf returns the crash of an engine at a time, nil if there is none. An engine that has
// lost runs at different times may have lost only connections before, or an instance may
// have noticed its losses late.
func (t *Table) crashOf(e engine, at time.Time) *crash {
	for _, c := range t.crashes {
		if c.engine == e && c.at.Sub(at).Abs() <= crashSpread {
			return c
		}
	}
	return nil
}

// leastUseful returns the crash to forget if there are too many: the oldest one without
// candidates, or else the oldest one that says nothing about a quarantined part, or else the
// oldest one of the part that has most.
func (t *Table) leastUseful() *crash {
	t.update()
	open := t.accusations()
	for _, a := range open {
		if len(a.candidates) == 0 && len(t.requestCandidates(a.crash)) == 0 {
			return a.crash
		}
	}
	var least *crash
	most := 0
	for _, a := range open {
		explained := t.explains(a.crash)
		if explained == 0 {
			return a.crash
		}
		if explained > most {
			least, most = a.crash, explained
		}
	}
	return least
}

// explains returns the number of crashes of the quarantined part that is in the prompt of a
// crash's suspect, the largest if there are several, 0 if there is none.
func (t *Table) explains(c *crash) int {
	most := 0
	for part, q := range t.quarantined {
		if c.has(part) {
			most = max(most, q.Crashes)
		}
	}
	return most
}

// setSound records when a part in the records was found sound.
func (t *Table) setSound(part entity.PartID, at time.Time) {
	before := t.sound[part]
	if t.newest[part].IsZero() || !at.After(before.at) {
		return
	}
	version := before.version
	if t.acquits(part, before.at, at) {
		t.version++
		version, t.stale = t.version, true
	}
	t.sound[part] = soundPart{at: at, version: version}
}

// acquits reports whether it says something about a crash that a part in the records was
// sound at a time, and not only before.
func (t *Table) acquits(part entity.PartID, before, at time.Time) bool {
	if before.IsZero() {
		return true
	}
	if !before.Before(t.newest[part]) {
		return false
	}
	for _, c := range t.crashes {
		if before.Before(c.at) && !at.Before(c.at) && c.has(part) {
			return true
		}
	}
	return false
}

// update computes the quarantine again if the records have changed.
func (t *Table) update() {
	if !t.stale {
		return
	}
	t.stale = false
	t.index()
	found := t.blame()
	for _, part := range slices.Sorted(maps.Keys(t.quarantined)) {
		if _, ok := found[part]; !ok {
			t.changes = append(t.changes, Change{Quarantined: t.quarantined[part], Released: true})
		}
	}
	for _, part := range slices.Sorted(maps.Keys(found)) {
		if _, ok := t.quarantined[part]; !ok {
			t.changes = append(t.changes, Change{Quarantined: found[part]})
		}
	}
	t.quarantined = found
	t.trials.keep(found)
}

// index computes newest again, and forgets what was found about parts that are in no record.
func (t *Table) index() {
	clear(t.newest)
	for _, c := range t.crashes {
		for _, r := range c.runs {
			for _, part := range r.keys() {
				if c.at.After(t.newest[part]) {
					t.newest[part] = c.at
				}
			}
		}
	}
	maps.DeleteFunc(t.sound, func(part entity.PartID, _ soundPart) bool { return t.newest[part].IsZero() })
}
