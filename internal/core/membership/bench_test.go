package membership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// benchSettleTime is how long a cluster runs before a measurement starts.
const benchSettleTime = 30 * time.Second

// settleTimePerZone is the additional time for each zone until the gossip that
// follows the start of the whole fleet has ended.
const settleTimePerZone = 7 * time.Second

// benchCluster measures a cluster without faults, per instance and second: the
// processor time, the messages, and their encoded bytes without transport
// overhead.
func benchCluster(b *testing.B, zones, perZone int) {
	c := newCluster(b, 1)
	c.fill(zones, perZone)
	c.listStale = true
	c.run(benchSettleTime+time.Duration(zones)*settleTimePerZone, nil)
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

// BenchmarkSteady measures a single zone without faults.
func BenchmarkSteady(b *testing.B) {
	for _, n := range []int{6, 14, 31} {
		b.Run(fmt.Sprintf("zone=%d", n), func(b *testing.B) { benchCluster(b, 1, n) })
	}
}

// BenchmarkSteadyLinked measures several linked zones without faults.
func BenchmarkSteadyLinked(b *testing.B) {
	for _, n := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("zones=%d", n), func(b *testing.B) { benchCluster(b, n, 31) })
	}
}

// BenchmarkDeath measures the additional bytes sent because of an instance's
// death, per surviving instance, and the time until all views agree again.
func BenchmarkDeath(b *testing.B) {
	const window = 20 * time.Second
	for _, n := range []int{6, 14, 31} {
		b.Run(fmt.Sprintf("zone=%d", n), func(b *testing.B) {
			deaths, bytes, settleTime := 0, 0, time.Duration(0)
			for b.Loop() {
				c := newCluster(b, int64(deaths+1))
				c.fill(1, n)
				c.run(benchSettleTime, nil)
				total := 0
				c.traffic = func(_ entity.InstanceID, o Outgoing) { data, _ := json.Marshal(o.Message); total += len(data) }
				c.run(window, nil)
				baseline := total
				total = 0
				c.nodes[0].dead = true
				died := c.now
				settled := time.Time{}
				c.run(window, func() {
					if settled.IsZero() && c.firstDifference() == "" {
						settled = c.now
					}
				})
				bytes += total - baseline*(n-1)/n
				settleTime += settled.Sub(died)
				deaths++
			}
			b.ReportMetric(float64(bytes)/float64(deaths*(n-1)), "B/survivor")
			b.ReportMetric(settleTime.Seconds()/float64(deaths), "s/settled")
		})
	}
}
