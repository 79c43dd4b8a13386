package request

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Status is what this instance knows of a request.
type Status struct {
	ID       entity.RequestID  `json:"id"`
	Org      entity.OrgID      `json:"-"`
	State    string            `json:"state"`
	Verdict  verdict.Verdict   `json:"verdict,omitempty"`
	Reason   verdict.Reason    `json:"reason,omitempty"`
	Endpoint entity.EndpointID `json:"endpoint,omitempty"`
	At       time.Time         `json:"at,omitzero"`
}

// finishedTable holds the status of the requests that finished last.
type finishedTable struct {
	rows *lru.Cache[entity.RequestID, Status]
}

func newFinishedTable(size int) *finishedTable {
	rows, err := lru.New[entity.RequestID, Status](max(size, 1))
	if err != nil {
		panic(err) // only a size below one is rejected
	}
	return &finishedTable{rows: rows}
}

func (t *finishedTable) add(s Status) { t.rows.Add(s.ID, s) }

// Status returns what is known of a request, and false if nothing is.
func (e *Entry) Status(id entity.RequestID) (Status, bool) {
	if r, ok := e.rows[id]; ok {
		return Status{ID: id, Org: r.work.Org, State: r.state.String(), Endpoint: r.endpoint}, true
	}
	return e.finished.rows.Peek(id)
}

// OwnerChanged assigns the requests that run or are paused on an endpoint to its new
// owner, and returns them for the message to that owner.
func (e *Entry) OwnerChanged(now time.Time, endpoint entity.EndpointID, owner entity.InstanceID) []entity.HeldSlot {
	var held []entity.HeldSlot
	for _, r := range e.sortedRows() {
		if r.endpoint != endpoint || r.owner == owner {
			continue
		}
		switch r.state {
		case StateRunning, StatePausing:
			r.owner = owner
			r.addHolder(owner)
			held = append(held, e.heldSlot(r))
		case StatePaused:
			r.addHolder(owner)
			held = append(held, e.heldSlot(r))
			e.reserveResume(now, r)
		}
	}
	return held
}

// InFlightByModel counts the requests without a final answer by model.
func (e *Entry) InFlightByModel() map[entity.ModelID]int {
	counts := make(map[entity.ModelID]int)
	for _, r := range e.rows {
		if r.work.Model != "" {
			counts[r.work.Model]++
		}
	}
	return counts
}
