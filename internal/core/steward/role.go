package steward

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/lease"
	"github.com/medlarhold/medlarhold/internal/core/ownership"
)

// role is this instance's candidacy for one lease.
type role struct {
	name     lease.Name
	settings Settings
	// lease is nil while the instance is not a candidate.
	lease      *lease.Lease
	candidates []entity.InstanceID
	stopping   bool // resigned for good
	held       bool
}

func newRole(name lease.Name, s Settings) *role { return &role{name: name, settings: s} }

// setMembers selects the candidates among the members, and joins or resigns
// accordingly.
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

// join makes the instance a candidate with the given rank.
func (r *role) join(now time.Time, rank int) {
	if r.lease == nil {
		l, err := lease.New(lease.Settings{
			Name: r.name, Instance: r.settings.Self.ID, Term: r.settings.Term, RenewEvery: r.settings.RenewEvery,
		})
		if err != nil {
			panic(err) // can't happen: name and instance are set, all other settings have defaults
		}
		r.lease = l
	}
	r.lease.Campaign(now, rank)
}

// resign gives up the lease and ends the candidacy permanently.
func (r *role) resign(now time.Time) {
	r.stopping = true
	if r.lease != nil {
		r.lease.Resign(now)
	}
}

// tick advances time to now and adds to ready whether the lease was won or lost.
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

// collect adds the appends and reads that the lease requests to ready.
func (r *role) collect(ready *Ready) {
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
