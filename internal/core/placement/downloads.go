package placement

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// downloads is the queue of what waits for the weight store. Starts are spaced
// so that each download has the whole rate for as long as its bytes take.
type downloads struct {
	bytesPerSec int64
	queue       []download // of this tick
	freeAt      time.Time
}

// download is one load order that waits.
type download struct {
	endpoint entity.EndpointID
	item     Item
	bytes    int64
	urgency  float64
}

func (d *downloads) want(e entity.EndpointID, it Item, bytes int64, urgency float64) {
	d.queue = append(d.queue, download{endpoint: e, item: it, bytes: bytes, urgency: urgency})
}

// start returns the downloads that may start now and forgets the others, which
// the next tick asks for again if they are still wanted.
func (d *downloads) start(now time.Time) []download {
	slices.SortFunc(d.queue, byUrgency)
	n := 0
	for n < len(d.queue) && !now.Before(d.freeAt) {
		d.freeAt = now.Add(d.duration(d.queue[n].bytes))
		n++
	}
	started := d.queue[:n:n]
	d.queue = nil
	return started
}

func (d *downloads) duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / float64(d.bytesPerSec) * float64(time.Second))
}
