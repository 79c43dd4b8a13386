package quarantine

import (
	"maps"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// trialAfter is the time from the last crash of a quarantined part until it is tried
	// with one request. It doubles with each trial, maxDoublings times.
	trialAfter   = time.Minute
	maxDoublings = 3
)

// Decision says whether a request may be sent to an engine.
type Decision struct {
	// Refused is the part or the request that forbids it; nil if it may be sent.
	Refused *Quarantined
	// Trial is set if a quarantined request, or one with a quarantined part, may be sent all the
	// same.
	Trial bool
}

// trials holds the trials of quarantined parts.
type trials struct {
	// allowed is set at the one instance of the deployment that tries parts of prompts.
	allowed bool
	// delay is how much longer than others this instance waits before it tries a request.
	delay  time.Duration
	byPart map[entity.PartID]trial
}

// trial is the number of trials of a part and the time of the last one.
type trial struct {
	count int
	at    time.Time
}

// SetTrials sets whether this instance is the one that makes trials.
func (t *Table) SetTrials(allowed bool) { t.trials.allowed = allowed }

// SetTrialDelay sets how much longer than others this instance waits before it tries a request.
// The same request may come at any instance, and one of them is to try it.
func (t *Table) SetTrialDelay(d time.Duration) { t.trials.delay = d }

// MakesTrials reports whether this instance is the one that makes trials.
func (t *Table) MakesTrials() bool { return t.trials.allowed }

// Decide decides whether a request may be sent to an endpoint now, given the parts of its prompt and
// its key. If it allows a trial, the request must be sent.
func (t *Table) Decide(now time.Time, keys []entity.PartID) Decision {
	t.update()
	if len(t.quarantined) == 0 {
		return Decision{}
	}
	var d Decision
	for _, key := range keys {
		q, ok := t.quarantined[key]
		if !ok {
			continue
		}
		if d.Refused != nil || !t.trials.due(now, q) {
			return Decision{Refused: &q}
		}
		d = Decision{Refused: &q}
	}
	if d.Refused == nil {
		return Decision{}
	}
	t.trials.begin(now, d.Refused.Part)
	return Decision{Trial: true}
}

// due reports whether a part may be tried now.
func (t *trials) due(now time.Time, q Quarantined) bool {
	if IsRequest(q.Part) {
		return t.requestDue(now, q)
	}
	last := t.byPart[q.Part]
	wait := trialAfter << min(last.count, maxDoublings)
	return t.allowed && now.Sub(q.LastCrash) >= wait && now.Sub(last.at) >= wait
}

// requestDue reports whether a request may be tried now. Each failed trial is a crash, which all
// instances learn of, so they count the trials by the crashes.
func (t *trials) requestDue(now time.Time, q Quarantined) bool {
	wait := trialAfter<<min(max(0, q.Crashes-minRequestCrashes), maxDoublings) + t.delay
	return now.Sub(q.LastCrash) >= wait && now.Sub(t.byPart[q.Part].at) >= trialAfter
}

func (t *trials) begin(now time.Time, part entity.PartID) {
	if t.byPart == nil {
		t.byPart = make(map[entity.PartID]trial)
	}
	t.byPart[part] = trial{count: t.byPart[part].count + 1, at: now}
}

// keep forgets the trials of parts that are not quarantined any more.
func (t *trials) keep(quarantined map[entity.PartID]Quarantined) {
	maps.DeleteFunc(t.byPart, func(part entity.PartID, _ trial) bool {
		_, ok := quarantined[part]
		return !ok
	})
}
