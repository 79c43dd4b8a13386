package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/storeera"
)

// FreshFor is how old a word may be for requests to go to the target: a few times what it takes from
// the decider to all instances.
const FreshFor = 2 * time.Second

// Table holds the last word about each pool, and which versions of a pool may get requests.
type Table struct {
	rows     map[entity.PoolID]*row
	versions map[entity.PoolID]*poolVersions
	// seed makes the pacers of several instances begin at different requests.
	seed string
	// changes collects the words that have changed.
	changes []Word
}

// row is the last word about a pool.
type row struct {
	word Word
	// heardAt is when the word's times were valid.
	heardAt time.Duration
	pacers  map[string]float64 // by route
}

// NewTable returns an empty Table. The seed distinguishes instances.
func NewTable(seed string) *Table {
	return &Table{rows: make(map[entity.PoolID]*row), versions: make(map[entity.PoolID]*poolVersions), seed: seed}
}

// Len returns the number of pools with an order.
func (t *Table) Len() int { return len(t.rows) }

// Word returns the last word about a pool, with its times as of now.
func (t *Table) Word(boot time.Duration, pool entity.PoolID) (Word, bool) {
	r := t.rows[pool]
	if r == nil {
		return Word{}, false
	}
	w := r.word
	passed := max(0, boot-r.heardAt)
	w.Age += passed
	w.Elapsed += passed
	return w, true
}

// Words returns all words, sorted by pool, with their times as of now.
func (t *Table) Words(boot time.Duration) []Word {
	var out []Word
	for _, pool := range slices.Sorted(maps.Keys(t.rows)) {
		w, _ := t.Word(boot, pool)
		out = append(out, w)
	}
	return out
}

// Hear processes the records of the operators' log that were read, up to a position. If complete is
// set, they are all that the log holds.
func (t *Table) Hear(boot time.Duration, records []Heard, complete bool, end storeera.Position) {
	present := make(map[entity.PoolID]bool)
	for _, h := range records {
		present[h.Pool] = true
		w := Word{Order: h.Order, Era: h.At.Era, Offset: h.At.Offset}
		if h.Withdrawn {
			w.Target, w.Duration = "", 0
		} else if problem := w.problem(); problem != "" {
			w.State, w.Why = StateRejected, problem
		}
		t.Merge(boot, []Word{w})
	}
	if !complete {
		return
	}
	for _, pool := range slices.Sorted(maps.Keys(t.rows)) {
		if !present[pool] && t.rows[pool].word.Target != "" {
			t.Merge(boot, []Word{{Order: Order{Pool: pool}, Era: end.Era, Offset: end.Offset}})
		}
	}
}

// Merge adds the words of another instance, or of the decider.
func (t *Table) Merge(boot time.Duration, words []Word) {
	for _, w := range words {
		t.merge(boot, w)
	}
}

func (t *Table) merge(boot time.Duration, w Word) {
	r := t.rows[w.Pool]
	if r == nil {
		if w.Target == "" && len(w.Banned) == 0 {
			return // nothing to withdraw
		}
		t.rows[w.Pool] = &row{word: w, heardAt: boot, pacers: make(map[string]float64)}
		t.changes = append(t.changes, w)
		return
	}
	before, _ := t.Word(boot, w.Pool)
	if !w.after(&before) {
		return
	}
	r.word, r.heardAt = w.replace(&before), boot
	if before.Order != w.Order || before.State != w.State || before.Generation != w.Generation {
		t.changes = append(t.changes, r.word)
	}
}

// MergeSaved adds the words that the store holds. An end that it holds stands, whatever was heard: it was
// declared.
func (t *Table) MergeSaved(boot time.Duration, words []Word) {
	for _, w := range words {
		r := t.rows[w.Pool]
		if r != nil && w.State.Ended() && r.word.Order == w.Order && r.word.State != w.State {
			r.word, r.heardAt = w.replace(&r.word), boot
			t.changes = append(t.changes, r.word)
			continue
		}
		t.merge(boot, w)
	}
}

// Changes returns the words that are new since the last call.
func (t *Table) Changes() []Word {
	c := t.changes
	t.changes = nil
	return c
}
