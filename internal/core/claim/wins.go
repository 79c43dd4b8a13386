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
	again   time.Time
	pause   time.Duration
	until   time.Time
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
		again: now.Add(firstWinRepeat), pause: firstWinRepeat, until: now.Add(within),
	})
}

// due returns the wins to be told again and drops those that are open no more.
func (w *wins) due(now time.Time, open func(*win) bool) []win {
	var again []win
	kept := w.list[:0]
	for i := range w.list {
		x := w.list[i]
		if now.After(x.until) || !open(&x) {
			continue
		}
		if !now.Before(x.again) {
			x.pause *= 2
			x.again = now.Add(x.pause)
			again = append(again, x)
		}
		kept = append(kept, x)
	}
	w.list = kept
	return again
}
