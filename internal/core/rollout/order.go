package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/storeera"
)

// Limits of the time of an order. In less, nothing can be learned of a version and no request can
// end at the old one.
const (
	minDuration = 2 * time.Second
	maxDuration = 24 * time.Hour
)

// Order asks for a pool's requests to be moved to a software version.
type Order struct {
	Pool   entity.PoolID `json:"p"`
	Target string        `json:"t,omitempty"`
	// Duration is the time within which the target is to have all requests.
	Duration time.Duration `json:"d,omitempty"`
}

// problem returns why the order can't be followed, empty if it can.
func (o *Order) problem() string {
	switch {
	case o.Target == "":
		return "no target"
	case o.Duration < minDuration:
		return "time below " + minDuration.String()
	case o.Duration > maxDuration:
		return "time above " + maxDuration.String()
	}
	return ""
}

// Heard is one record of the operators' log about the roll-out of a pool.
type Heard struct {
	Order
	// At is the record's position in the log.
	At storeera.Position
	// Withdrawn is set if the record removes the order.
	Withdrawn bool
}

// State is the state of an order.
type State string

// The states of an order. Heard leads to running, running to done or rolled back; rejected, done and
// rolled back are final.
const (
	// StateHeard is the state before the decider has begun.
	StateHeard State = ""
	// StateRejected: the order can't be followed.
	StateRejected State = "rejected"
	// StateRunning: requests are being moved.
	StateRunning State = "running"
	// StateDone: the target has all requests.
	StateDone State = "done"
	// StateRolledBack: the target gets no requests.
	StateRolledBack State = "rolled_back"
)

// Ended reports whether the order's end was declared.
func (s State) Ended() bool { return s == StateDone || s == StateRolledBack }

// rank orders the states of one order by precedence.
func (s State) rank() int {
	return slices.Index([]State{StateHeard, StateRejected, StateRunning, StateDone, StateRolledBack}, s)
}

// Word states what is to be done about the last order of a pool. It is sent between instances and
// kept in the store.
type Word struct {
	Order
	// Era and Offset are the position of the order in the operators' log.
	Era    int64 `json:"e,omitempty"`
	Offset int64 `json:"o,omitempty"`
	State  State `json:"s,omitempty"`
	// Generation counts the words of the order.
	Generation uint64 `json:"g,omitempty"`
	// Share is the share of new requests that goes to the target while the state is running.
	Share float64 `json:"h,omitempty"`
	// Elapsed is the time since the order, AllAt its value when Share became 1; both as of the
	// time at which Age was 0.
	Elapsed time.Duration `json:"l,omitempty"`
	AllAt   time.Duration `json:"z,omitempty"`
	// Age is the time since the decider last confirmed the word.
	Age time.Duration `json:"a,omitempty"`
	// Old lists the other versions that served the pool when the order began.
	Old []string `json:"v,omitempty"`
	// Banned lists the targets of earlier orders that were not done.
	Banned []string `json:"b,omitempty"`
	// Why says what the last change was due to.
	Why string `json:"w,omitempty"`
	// Evidence is what the decider went by.
	Evidence Summary `json:"x"`
}

// Summary is the evidence about the target in figures.
type Summary struct {
	// Requests is the number of requests of the pool since the decider began to count, Exposed the
	// number of those sent to the target.
	Requests int `json:"r,omitempty"`
	Exposed  int `json:"e,omitempty"`
	// Answers and Failed count the target's answers, OldAnswers and OldFailed those of the others.
	Answers    int `json:"a,omitempty"`
	Failed     int `json:"f,omitempty"`
	OldAnswers int `json:"o,omitempty"`
	OldFailed  int `json:"g,omitempty"`
	// Suspicion is how far the evidence is on its way to a roll-back, which is at 1. Route and Kind
	// say where it is strongest.
	Suspicion float64 `json:"s,omitempty"`
	Route     string  `json:"n,omitempty"`
	Kind      Kind    `json:"k,omitempty"`
	// Clear is how strongly the last answers speak for the target: the logarithm of the likelihood
	// ratio of good to each way of being bad, at least.
	Clear float64 `json:"c,omitempty"`
	// Running is the number of requests that run at other versions.
	Running int `json:"u,omitempty"`
}

// position returns the position of the order.
func (w *Word) position() storeera.Position {
	return storeera.Position{Era: w.Era, Offset: w.Offset}
}

// comparePositions orders positions of the operators' log.
func comparePositions(a, b storeera.Position) int {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Offset, b.Offset))
}

// after reports whether the word has precedence over another one of the same pool.
func (w *Word) after(other *Word) bool {
	if w.Order != other.Order {
		order := comparePositions(w.position(), other.position())
		return order > 0 || order == 0 && w.Target != "" && other.Target == "" // the end of what was withdrawn
	}
	order := cmp.Or(cmp.Compare(w.State.rank(), other.State.rank()), cmp.Compare(w.Generation, other.Generation), cmp.Compare(other.Age, w.Age))
	return order > 0
}

// maxBanned is the number of versions that a word remembers as banned.
const maxBanned = 8

// replace returns the word that takes the place of another one of the pool. Targets of earlier orders that
// were not done stay banned, until one of them is ordered again.
func (w Word) replace(before *Word) Word {
	if before == nil {
		return w
	}
	banned := slices.Concat(w.Banned, before.Banned)
	if before.State != StateDone && before.Target != "" {
		banned = append(banned, before.Target)
	}
	slices.Sort(banned)
	banned = slices.DeleteFunc(slices.Compact(banned), func(v string) bool { return v == w.Target })
	w.Banned = banned[:min(len(banned), maxBanned)]
	if w.Order == before.Order && comparePositions(before.position(), w.position()) > 0 {
		w.Era, w.Offset = before.Era, before.Offset
	}
	return w
}
