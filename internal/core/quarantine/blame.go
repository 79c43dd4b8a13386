package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// pointsSole and pointsShared are what a crash counts for a part that is its only
	// candidate, and for any other.
	pointsSole   = 2
	pointsShared = 1
	// minPoints, minCrashes and minRequests are needed for a quarantine. Two crashes of
	// engines that die for another reason may hit requests of the same rare caller, and
	// more of them one request that is resumed each time.
	minPoints   = 4
	minCrashes  = 3
	minRequests = 2
	// minSpacing is the time between two crashes that both count for a part. Engines that
	// end together are ended by something else.
	minSpacing = 100 * time.Millisecond
	// minCorroboration is the number of lost runs that show that an engine has ended, and
	// not just one connection.
	minCorroboration = 2
)

// tally counts the crashes of which a part is a candidate.
type tally struct {
	part    entity.PartID
	points  int
	crashes int
	// depth is the place of the part in a prompt.
	depth int
	// last is the time of the last crash that was counted.
	last time.Time
	// owns are the requests that were counted.
	owns map[entity.PartID]struct{}
}

// count adds a crash to the tally. sole is set if the part is its only candidate.
func (t *tally) count(c *crash, k candidate, sole bool) {
	if t.crashes > 0 && c.at.Sub(t.last) < minSpacing {
		return
	}
	t.crashes++
	t.last = c.at
	t.depth = k.depth
	_, repeated := t.owns[k.own]
	t.owns[k.own] = struct{}{}
	if sole && !k.wasSound && !repeated && len(c.runs) >= minCorroboration {
		t.points += pointsSole
		return
	}
	t.points += pointsShared
}

// enough reports whether the part is to be quarantined.
func (t *tally) enough() bool {
	return t.points >= minPoints && t.crashes >= minCrashes && len(t.owns) >= minRequests
}

// compare orders tallies by how well their parts explain the crashes.
func (t *tally) compare(o *tally) int {
	return cmp.Or(cmp.Compare(t.points, o.points), cmp.Compare(t.depth, o.depth), cmp.Compare(t.part, o.part))
}

// blame returns the parts that are to be quarantined.
func (t *Table) blame() map[entity.PartID]Quarantined {
	found := make(map[entity.PartID]Quarantined)
	open := t.accusations()
	for {
		best := mostBlamed(open)
		if best == nil {
			t.blameRequests(found)
			return found
		}
		q := Quarantined{Part: best.part}
		open = slices.DeleteFunc(open, func(a accusation) bool {
			if _, accused := a.candidates[best.part]; !accused {
				return false
			}
			q.Crashes++
			q.LastCrash = a.crash.at
			return true
		})
		found[best.part] = q
	}
}

// mostBlamed returns the tally of the part that explains the crashes best among those to be
// quarantined, nil if there are none.
func mostBlamed(open []accusation) *tally {
	tallies := make(map[entity.PartID]*tally)
	for _, a := range open {
		for part, k := range a.candidates {
			y := tallies[part]
			if y == nil {
				y = &tally{part: part, owns: make(map[entity.PartID]struct{})}
				tallies[part] = y
			}
			y.count(a.crash, k, len(a.candidates) == 1)
		}
	}
	var best *tally
	for _, y := range tallies {
		if y.enough() && (best == nil || y.compare(best) > 0) {
			best = y
		}
	}
	return best
}

// accusation is a crash with the parts that may have caused it.
type accusation struct {
	crash      *crash
	candidates map[entity.PartID]candidate
}

// candidate is where a part stands in the prompt of a suspect.
type candidate struct {
	// own is the part that no other request shares.
	own   entity.PartID
	depth int
	// wasSound is set if the part was sound before.
	wasSound bool
}

// accusations returns the crashes by time.
func (t *Table) accusations() []accusation {
	out := make([]accusation, 0, len(t.crashes))
	for _, c := range t.sortedCrashes() {
		out = append(out, accusation{crash: c, candidates: t.candidates(c)})
	}
	return out
}

// candidates returns the parts of a crash's suspects that were never sound, or if there are
// none, those that were not sound since.
func (t *Table) candidates(c *crash) map[entity.PartID]candidate {
	never := make(map[entity.PartID]candidate)
	before := make(map[entity.PartID]candidate)
	for _, r := range c.runs {
		for depth, part := range r.shared {
			k := candidate{own: r.own, depth: depth}
			switch sound := t.sound[part].at; {
			case sound.IsZero():
				never[part] = k
			case sound.Before(c.at):
				k.wasSound = true
				before[part] = k
			}
		}
	}
	if len(never) > 0 {
		return never
	}
	return before
}

// sortedCrashes returns the crashes by time.
func (t *Table) sortedCrashes() []*crash {
	return slices.SortedFunc(slices.Values(t.crashes), func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.engine.endpoint, b.engine.endpoint), cmp.Compare(a.engine.incarnation, b.engine.incarnation))
	})
}
