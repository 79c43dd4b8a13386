package quarantine

import (
	"cmp"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// A request that a caller repeats is a key like a part of a prompt: it is in the crashes, and no
// answer has acquitted it. Evidence is stronger than for a part, since the guilty request is in
// every crash, and weaker where requests travel together: what was lost with the guilty one is
// repeated as well. So a request is quarantined once it is in three crashes, but while another one
// is in all of them too, only when it is in five.
const (
	// minRequestCrashes is the number of crashes needed for a quarantine of a request,
	// minTiedCrashes the number while another request is in all the same crashes, or if the
	// request was sound before.
	minRequestCrashes = 3
	minTiedCrashes    = 5
	// minRequestSpacing is the time between two crashes that both count for a request. A retry
	// may crash the next endpoint within some 50 ms.
	minRequestSpacing = 20 * time.Millisecond
	// maxCrashesToRetry is the number of crashes that a request may be in for it to be sent
	// again to another endpoint at once.
	maxCrashesToRetry = 1
)

// requestPrefix distinguishes requests from parts of prompts, which are shorter.
const requestPrefix = "request:"

// RequestKey returns the key of a request with the given digest, to be used like a part of a
// prompt.
func RequestKey(digest []byte) entity.PartID {
	return entity.PartID(requestPrefix + hex.EncodeToString(digest))
}

// IsRequest reports whether a key stands for a request and not for a part of a prompt.
func IsRequest(key entity.PartID) bool { return strings.HasPrefix(string(key), requestPrefix) }

// requestTally counts the crashes of which a request is a candidate.
type requestTally struct {
	key entity.PartID
	// crashes are those that count, lost the number of all.
	crashes  []*crash
	lost     int
	last     time.Time
	wasSound bool
}

// blameRequests adds the requests that are to be quarantined to found.
func (t *Table) blameRequests(found map[entity.PartID]Quarantined) {
	open := t.sortedCrashes()
	for {
		tallies := t.tallyRequests(open)
		best := mostBlamedRequest(tallies)
		if best == nil {
			return
		}
		found[best.key] = Quarantined{Part: best.key, Crashes: best.lost, LastCrash: best.last}
		open = slices.DeleteFunc(open, func(c *crash) bool { return c.hasRequest(best.key) })
	}
}

// tallyRequests counts the crashes of each request that is a candidate, sorted by key.
func (t *Table) tallyRequests(crashes []*crash) []*requestTally {
	byKey := make(map[entity.PartID]*requestTally)
	for _, c := range crashes {
		for key, wasSound := range t.requestCandidates(c) {
			y := byKey[key]
			if y == nil {
				y = &requestTally{key: key}
				byKey[key] = y
			}
			y.wasSound = y.wasSound || wasSound
			y.lost++
			if len(y.crashes) == 0 || c.at.Sub(y.last) >= minRequestSpacing {
				y.crashes = append(y.crashes, c)
			}
			y.last = c.at
		}
	}
	return slices.SortedFunc(maps.Values(byKey), func(a, b *requestTally) int { return cmp.Compare(a.key, b.key) })
}

// requestCandidates returns the requests of a crash that were not sound since, and whether they
// were before.
func (t *Table) requestCandidates(c *crash) map[entity.PartID]bool {
	out := make(map[entity.PartID]bool)
	for _, r := range c.runs {
		if sound := t.sound[r.request].at; r.request != "" && sound.Before(c.at) {
			out[r.request] = !sound.IsZero()
		}
	}
	return out
}

// mostBlamedRequest returns the request that explains most crashes among those to be
// quarantined, nil if there is none.
func mostBlamedRequest(tallies []*requestTally) *requestTally {
	var best *requestTally
	for _, y := range tallies {
		if y.enough(tallies) && (best == nil || len(y.crashes) > len(best.crashes)) {
			best = y
		}
	}
	return best
}

// enough reports whether the request is to be quarantined, given the tallies of all.
func (y *requestTally) enough(all []*requestTally) bool {
	switch n := len(y.crashes); {
	case n >= minTiedCrashes:
		return true
	case n < minRequestCrashes || y.wasSound:
		return false
	}
	return !slices.ContainsFunc(all, func(o *requestTally) bool {
		return o != y && !o.wasSound && len(o.crashes) >= len(y.crashes) && !slices.ContainsFunc(y.crashes, func(c *crash) bool { return !c.hasRequest(o.key) })
	})
}

// MayRetry reports whether a request may be sent to another endpoint after one was lost with
// it. Each further endpoint is at risk if the request is what crashes them.
func (t *Table) MayRetry(request entity.PartID) bool {
	crashes := 0
	for _, c := range t.crashes {
		if _, suspected := t.requestCandidates(c)[request]; suspected {
			crashes++
		}
	}
	return crashes <= maxCrashesToRetry
}
