package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// firstWinRepeat is the pause before a win is sent for the second time. The pause
// doubles with each further repeat.
const firstWinRepeat = time.Second

// win is a decision that a request holds its key. It is sent repeatedly until the
// request's outcome is known, in case the message was lost: an entry instance that
// no longer waits must learn of the win to free the key.
type win struct {
	request     entity.RequestID
	to          entity.InstanceID
	key         Hash
	repeatAt    time.Time
	repeatAfter time.Duration
	expiresAt   time.Time
}

// wins is a bounded list of wins in the order in which they were first sent.
type wins struct {
	max  int
	list []win
}

// add adds a win that is repeated for the duration within. If the list is full, the
// oldest win is dropped.
func (w *wins) add(now time.Time, r entity.RequestID, to entity.InstanceID, key Hash, within time.Duration) {
	if len(w.list) >= w.max {
		w.list = w.list[1:]
	}
	w.list = append(w.list, win{
		request: r, to: to, key: key,
		repeatAt: now.Add(firstWinRepeat), repeatAfter: firstWinRepeat, expiresAt: now.Add(within),
	})
}

// due returns the wins to be sent again. It drops those that have expired or for
// which open reports false.
func (w *wins) due(now time.Time, open func(*win) bool) []win {
	var repeats []win
	kept := w.list[:0]
	for i := range w.list {
		x := w.list[i]
		if now.After(x.expiresAt) || !open(&x) {
			continue
		}
		if !now.Before(x.repeatAt) {
			x.repeatAfter *= 2
			x.repeatAt = now.Add(x.repeatAfter)
			repeats = append(repeats, x)
		}
		kept = append(kept, x)
	}
	w.list = kept
	return repeats
}
