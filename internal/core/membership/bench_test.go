package membership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// benchSettle is how long a cluster of a few zones runs before it is measured.
const benchSettle = 30 * time.Second

// settlePerZone is how much longer each zone takes until gossip of a start of
// the whole fleet has ended.
const settlePerZone = 7 * time.Second

// benchCluster measures one instance-second of a cluster at rest: the time it
// takes, its messages, and their bytes without envelopes.
func benchCluster(b *testing.B, zones, perZone int) {
	c := newCluster(b, 1)
	c.fill(zones, perZone)
	c.listFrozen = true
	c.run(benchSettle+time.Duration(zones)*settlePerZone, nil)
	messages, bytes := 0, 0
	c.traffic = func(_ entity.InstanceID, o Outgoing) {
		data, err := json.Marshal(o.Message)
		if err != nil {
			b.Fatal(err)
		}
		messages++
		bytes += len(data)
	}
	seconds := 0
	for b.Loop() {
		c.run(time.Second, nil)
		seconds++
	}
	n := float64(seconds * zones * perZone)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/n, "ns/instance-s")
	b.ReportMetric(float64(messages)/n, "messages/instance-s")
	b.ReportMetric(float64(bytes)/n, "B/instance-s")
}

func BenchmarkRest(b *testing.B) {
	for _, n := range []int{6, 14, 31} {
		b.Run(fmt.Sprintf("zone=%d", n), func(b *testing.B) { benchCluster(b, 1, n) })
	}
}

func BenchmarkRestLinked(b *testing.B) {
	for _, n := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("zones=%d", n), func(b *testing.B) { benchCluster(b, n, 31) })
	}
}

// BenchmarkDeath measures the messages and bytes of an instance's death, per
// surviving instance, beyond those of a cluster at rest for as long.
func BenchmarkDeath(b *testing.B) {
	const window = 20 * time.Second
	for _, n := range []int{6, 14, 31} {
		b.Run(fmt.Sprintf("zone=%d", n), func(b *testing.B) {
			deaths, bytes, known := 0, 0, time.Duration(0)
			for b.Loop() {
				c := newCluster(b, int64(deaths+1))
				c.fill(1, n)
				c.run(benchSettle, nil)
				total := 0
				c.traffic = func(_ entity.InstanceID, o Outgoing) { data, _ := json.Marshal(o.Message); total += len(data) }
				c.run(window, nil)
				rest := total
				total = 0
				c.nodes[0].dead = true
				died := c.now
				settled := time.Time{}
				c.run(window, func() {
					if settled.IsZero() && c.wrong() == "" {
						settled = c.now
					}
				})
				bytes += total - rest*(n-1)/n
				known += settled.Sub(died)
				deaths++
			}
			b.ReportMetric(float64(bytes)/float64(deaths*(n-1)), "B/survivor")
			b.ReportMetric(known.Seconds()/float64(deaths), "s/settled")
		})
	}
}
