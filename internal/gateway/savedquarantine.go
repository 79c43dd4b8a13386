package gateway

import (
	"context"
	"time"
)

// The records of the quarantine are saved in the store, so that a part is not tried again
// at the cost of several engines after all instances have lost their memory.

const (
	// saveInterval is the minimum time between two saves of the quarantine, and the time
	// after which a failed one is tried again.
	saveInterval = 300 * time.Millisecond
	// loadRetryInterval is the time between two attempts to load the quarantine.
	loadRetryInterval = time.Second
)

// saveQuarantine makes this instance save the quarantine, if it is the one that does. It
// does not block.
func (g *Instance) saveQuarantine() {
	if !g.quarantine.makesTrials() {
		return
	}
	select {
	case g.quarantineChanged <- struct{}{}:
	default: // it is going to
	}
}

// keepQuarantine loads the saved quarantine if other instances may have run before, and
// saves it whenever it changes, until ctx ends.
func (g *Instance) keepQuarantine(ctx context.Context) {
	if !g.settings.FirstStart {
		g.loadQuarantine(ctx)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.quarantineChanged:
		}
		g.metrics.LogCall("append", "quarantine")
		if g.adapter.Store.SaveQuarantine(ctx, g.quarantine.evidence(time.Now())) != nil {
			g.saveQuarantine()
		}
		pause(ctx, saveInterval)
	}
}

// loadQuarantine merges the saved quarantine. It retries until it has succeeded or ctx ends.
func (g *Instance) loadQuarantine(ctx context.Context) {
	for ctx.Err() == nil {
		g.metrics.LogCall("newest", "quarantine")
		s, err := g.adapter.Store.LoadQuarantine(ctx)
		if err == nil {
			if s != nil {
				g.quarantine.merge(time.Now(), s)
			}
			return
		}
		pause(ctx, loadRetryInterval)
	}
}
