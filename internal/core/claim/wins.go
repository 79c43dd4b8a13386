package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// firstWinRepeat is the pause before a win is told again; it doubles each time.
const firstWinRepeat = time.Second

// win is a request that was told that it holds its key. It is told again until
// its outcome is known, in case the message was lost: an entry instance that
// no longer waits must hear of it to free the key.
type win struct {
	request entity.RequestID
	to      entity.InstanceID
	key     Hash
	repeatAt   time.Time
	repeatAfter   time.Duration
	expiresAt   time.Time
}

// wins is a bounded list of wins in the order of telling.
type wins struct {
	max  int
	list []win
}

func (w *wins) add(now time.Time, r entity.RequestID, to entity.InstanceID, key Hash, within time.Duration) {
	if len(w.list) >= w.max {
		w.list = w.list[1:]
	}
	w.list = append(w.list, win{
		request: r, to: to, key: key,
		repeatAt: now.Add(firstWinRepeat), repeatAfter: firstWinRepeat, expiresAt: now.Add(within),
	})
}

// due returns the wins to be told again and drops those that are open no more.
func (w *wins) due(now time.Time, open func(*win) bool) []win {
	var again []win
	kept := w.list[:0]
	for i := range w.list {
		x := w.list[i]
		if now.After(x.expiresAt) || !open(&x) {
			continue
		}
		if !now.Before(x.repeatAt) {
			x.repeatAfter *= 2
			x.repeatAt = now.Add(x.repeatAfter)
			again = append(again, x)
		}
		kept = append(kept, x)
	}
	w.list = kept
	return again
}
