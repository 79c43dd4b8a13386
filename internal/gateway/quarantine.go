package gateway

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quarantine"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// quarantineRetryAfter is the retry time sent to callers whose prompt has a quarantined
// part, which is rarely released sooner.
const quarantineRetryAfter = time.Minute

// maxTrialDelay bounds how much longer than others an instance waits before it tries a quarantined
// request. Within it, one of the instances that get the request tries it first.
const maxTrialDelay = time.Minute

// quarantineTable is a quarantine.Table that is safe for concurrent use.
type quarantineTable struct {
	mu    sync.Mutex
	table *quarantine.Table
}

func (q *quarantineTable) decide(now time.Time, parts []entity.PartID) quarantine.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Decide(now, parts)
}

func (q *quarantineTable) recordLoss(now time.Time, l quarantine.Loss) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.RecordLoss(now, l)
}

func (q *quarantineTable) recordAnswer(now time.Time, parts []entity.PartID, request entity.PartID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.RecordAnswer(now, parts, request)
}

func (q *quarantineTable) mayRetry(request entity.PartID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.MayRetry(request)
}

func (q *quarantineTable) setTrialDelay(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.SetTrialDelay(d)
}

func (q *quarantineTable) version() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Version()
}

func (q *quarantineTable) since(now time.Time, version uint64) *quarantine.State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.StateSince(now, version)
}

func (q *quarantineTable) merge(now time.Time, s *quarantine.State) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Merge(now, s)
}

func (q *quarantineTable) setTrials(allowed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.SetTrials(allowed)
}

func (q *quarantineTable) makesTrials() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.MakesTrials()
}

func (q *quarantineTable) evidence(now time.Time) *quarantine.State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Evidence(now)
}

func (q *quarantineTable) expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Expire(now)
}

func (q *quarantineTable) changes() []quarantine.Change {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Changes()
}

func (q *quarantineTable) quarantined() []quarantine.Quarantined {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Quarantined()
}

// checkQuarantine returns an error if the request or a part of its prompt is quarantined. If
// trial is set, it is being tried with this request, which must not be checked again.
func (g *Instance) checkQuarantine(r edge.SlotRequest) (trial bool, v *verdict.Error) {
	keys := append(slices.Clone(r.PromptParts), r.Key)
	d := g.quarantine.decide(time.Now(), keys)
	if d.Trial {
		telemetry.Log(g.log, telemetry.EventPartTried, "request", r.ID, "parts", keys)
	}
	if d.Refused == nil {
		return d.Trial, nil
	}
	return false, &verdict.Error{
		Verdict: verdict.NotRun, Reason: verdict.ReasonQuarantined, RetryAfter: quarantineRetryAfter,
		Message: refusedMessage(d.Refused),
	}
}

func refusedMessage(q *quarantine.Quarantined) string {
	if quarantine.IsRequest(q.Part) {
		return fmt.Sprintf("this request has crashed %d endpoints", q.Crashes)
	}
	return fmt.Sprintf("part %s of the prompt has crashed %d engines", q.Part, q.Crashes)
}

// MayRetryLost implements edge.Scheduler.
func (g *Instance) MayRetryLost(r edge.SlotRequest) bool { return g.quarantine.mayRetry(r.Key) }

// recordRun records what the end of a dispatch says about the request and the parts of its prompt.
func (g *Instance) recordRun(r edge.SlotRequest, e *catalog.Endpoint, o edge.Outcome) {
	now := time.Now()
	switch {
	case o.Lost:
		g.quarantine.recordLoss(now, quarantine.Loss{Request: r.ID, Endpoint: e.ID, Incarnation: e.Incarnation, Parts: r.PromptParts, Key: r.Key, Answering: o.StreamDuration})
		if o.StreamDuration < quarantine.SoundAfter {
			telemetry.Log(g.log, telemetry.EventRunLost, "request", r.ID, "endpoint", e.ID, "incarnation", e.Incarnation, "parts", r.PromptParts, "key", r.Key,
				"answering_ms", o.StreamDuration.Milliseconds())
		}
	case o.Served || o.StreamDuration >= quarantine.SoundAfter:
		g.quarantine.recordAnswer(now, r.PromptParts, r.Key)
	}
}

// logQuarantine logs the parts that were quarantined or released since the last call, and
// has the change saved.
func (g *Instance) logQuarantine(now time.Time) {
	for _, c := range g.quarantine.changes() {
		g.saveQuarantine()
		event := telemetry.EventPartQuarantined
		if c.Released {
			event = telemetry.EventPartReleased
		}
		telemetry.Log(g.log, event, "part", c.Part, "crashes", c.Crashes, "last_crash_ms", now.Sub(c.LastCrash).Milliseconds())
	}
}
