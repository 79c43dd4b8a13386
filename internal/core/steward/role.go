package steward

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/lease"
	"github.com/medlarhold/medlarhold/internal/core/ownership"
)

// role is this instance's part in one lease.
type role struct {
	name     lease.Name
	settings Settings
	// lease is nil while the instance is no candidate.
	lease      *lease.Lease
	candidates []entity.InstanceID
	stopping   bool
	held       bool
}

func newRole(name lease.Name, s Settings) *role { return &role{name: name, settings: s} }

// setMembers chooses the candidates anew.
func (r *role) setMembers(now time.Time, members []entity.Instance) {
	r.candidates = ownership.Ranked(members, string(r.name), CandidatesPerLease)
	rank := slices.Index(r.candidates, r.settings.Self.ID)
	switch {
	case r.stopping:
	case rank >= 0:
		r.join(now, rank)
	case r.lease != nil:
		r.lease.Resign(now)
	}
}

// join makes the instance a candidate.
func (r *role) join(now time.Time, rank int) {
	if r.lease == nil {
		l, err := lease.New(lease.Settings{
			Name: r.name, Instance: r.settings.Self.ID, Term: r.settings.Term, RenewEvery: r.settings.RenewEvery,
		})
		if err != nil {
			panic(err) // name and instance are set, and the rest has defaults
		}
		r.lease = l
	}
	r.lease.Campaign(now, rank)
}

// resign ends the candidacy for good.
func (r *role) resign(now time.Time) {
	r.stopping = true
	if r.lease != nil {
		r.lease.Resign(now)
	}
}

// tick lets time pass and notes whether the lease was won or lost.
func (r *role) tick(now time.Time, ready *Ready) {
	if r.lease == nil {
		return
	}
	r.lease.Tick(now)
	_, held := r.lease.StillHeld(now)
	switch {
	case held && !r.held:
		ready.Won = append(ready.Won, r.name)
	case !held && r.held:
		ready.Lost = append(ready.Lost, r.name)
	}
	r.held = held
	if r.lease.Resigned() && !slices.Contains(r.candidates, r.settings.Self.ID) {
		r.lease = nil
	}
}

// drain hands out what the lease asks for.
func (r *role) drain(ready *Ready) {
	if r.lease == nil {
		return
	}
	out := r.lease.Ready()
	if out.Append != nil {
		ready.Appends = append(ready.Appends, Append{Lease: r.name, Stream: lease.DefaultStream, Append: *out.Append})
	}
	if out.Read != nil {
		ready.Reads = append(ready.Reads, Read{Lease: r.name, Read: *out.Read})
	}
}
