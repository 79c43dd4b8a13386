package placement

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// downloads is the queue of loads from the weight store. Starts are spaced so
// that each download has the full rate for the time that its bytes take.
type downloads struct {
	bytesPerSec int64
	queue       []download // requested in this tick
	nextStart   time.Time  // earliest start of the next download
}

// download is a load order that has not been issued yet.
type download struct {
	endpoint entity.EndpointID
	item     Item
	bytes    int64
	urgency  float64
}

func (d *downloads) enqueue(e entity.EndpointID, it Item, bytes int64, urgency float64) {
	d.queue = append(d.queue, download{endpoint: e, item: it, bytes: bytes, urgency: urgency})
}

// start returns the downloads that may start now and discards the others: the
// next tick queues them again if they are still wanted.
func (d *downloads) start(now time.Time) []download {
	slices.SortFunc(d.queue, byUrgency)
	n := 0
	for n < len(d.queue) && !now.Before(d.nextStart) {
		d.nextStart = now.Add(d.duration(d.queue[n].bytes))
		n++
	}
	started := d.queue[:n:n]
	d.queue = nil
	return started
}

func (d *downloads) duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / float64(d.bytesPerSec) * float64(time.Second))
}
