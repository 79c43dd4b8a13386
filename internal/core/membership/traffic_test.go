package membership

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// trafficMeter counts the messages of a cluster and their encoded bytes, without
// transport overhead.
type trafficMeter struct {
	sent, received map[entity.InstanceID]int
	messages       int
}

func (c *cluster) startTrafficMeter() *trafficMeter {
	m := &trafficMeter{sent: map[entity.InstanceID]int{}, received: map[entity.InstanceID]int{}}
	c.traffic = func(from entity.InstanceID, o Outgoing) {
		data, err := json.Marshal(o.Message)
		if err != nil {
			c.t.Fatal(err)
		}
		m.messages++
		m.sent[from] += len(data)
		m.received[o.To] += len(data)
	}
	return m
}

// report reports the mean and the maximum bytes per instance and second. Bytes
// sent and bytes received are added up, as in the traffic budget.
func (m *trafficMeter) report(b *testing.B, c *cluster, d time.Duration) {
	total, highest := 0, 0
	for _, n := range c.nodes {
		sum := m.sent[n.self.ID] + m.received[n.self.ID]
		total += sum
		highest = max(highest, sum)
	}
	perSec := float64(len(c.nodes)) * d.Seconds()
	b.ReportMetric(float64(total)/perSec, "B/s/instance")
	b.ReportMetric(float64(highest)/d.Seconds(), "B/s/worst")
	b.ReportMetric(float64(2*m.messages)/perSec, "msgs/s/instance")
}

// benchmarkSizes are the fleet sizes measured: the zones, and the instances in each.
var benchmarkSizes = []struct{ zones, perZone int }{{1, 6}, {1, 14}, {1, 31}, {4, 4}, {15, 6}, {15, 31}}

// benchmarkTraffic measures the traffic in a period of length d that starts one
// minute after all views agree; during injects faults into the period.
func benchmarkTraffic(b *testing.B, d time.Duration, during func(c *cluster)) {
	for _, s := range benchmarkSizes {
		b.Run(fmt.Sprintf("zones=%d/instances=%d", s.zones, s.perZone), func(b *testing.B) {
			for range b.N {
				c := newCluster(b, 1)
				c.fill(s.zones, s.perZone)
				c.requireAgreement(2 * time.Minute)
				c.run(time.Minute, nil)
				m := c.startTrafficMeter()
				end := c.now.Add(d)
				if during != nil {
					during(c)
				}
				c.run(end.Sub(c.now), nil)
				m.report(b, c, d)
			}
		})
	}
}

func BenchmarkTrafficSteady(b *testing.B) { benchmarkTraffic(b, 30*time.Second, nil) }

// BenchmarkTrafficOneKilled measures the 30 s after the death of an instance.
func BenchmarkTrafficOneKilled(b *testing.B) {
	benchmarkTraffic(b, 30*time.Second, func(c *cluster) { c.nodes[0].dead = true })
}

// BenchmarkTrafficRollingRestart replaces the instances of one zone, one every 2 s.
func BenchmarkTrafficRollingRestart(b *testing.B) {
	benchmarkTraffic(b, 2*time.Minute, func(c *cluster) {
		zone := c.nodes[0].self.Zone
		for _, n := range c.nodes {
			if n.self.Zone != zone {
				continue
			}
			n.leavingSince = c.now
			n.core.Leave(c.now)
			c.collect(n)
			c.run(2*time.Second, nil)
			n.dead = true
			c.add(zone).core.SetPlatformList(c.now, c.platformList)
		}
	})
}

// BenchmarkTrafficZoneCut measures 30 s with one zone isolated and the 30 s after.
func BenchmarkTrafficZoneCut(b *testing.B) {
	benchmarkTraffic(b, time.Minute, func(c *cluster) {
		zone := c.nodes[0].self.Zone
		c.blocked = func(x, y *node) bool { return (x.self.Zone == zone) != (y.self.Zone == zone) }
		c.run(30*time.Second, nil)
		c.blocked = func(_, _ *node) bool { return false }
	})
}

// BenchmarkTick measures one Tick of an instance with the Acks to its messages.
func BenchmarkTick(b *testing.B) {
	for _, s := range benchmarkSizes {
		b.Run(fmt.Sprintf("zones=%d/instances=%d", s.zones, s.perZone), func(b *testing.B) {
			c := newCluster(b, 1)
			c.fill(s.zones, s.perZone)
			c.requireAgreement(2 * time.Minute)
			core, now := c.nodes[0].core, c.now
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(100 * time.Millisecond)
				core.Tick(now)
				for _, o := range core.Ready().Messages {
					core.Step(now, o.To, Message{Kind: Ack, Seq: o.Message.Seq, Digest: core.table.digest})
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap memory of one Core whose table contains all
// instances.
func BenchmarkMemory(b *testing.B) {
	for _, s := range benchmarkSizes {
		b.Run(fmt.Sprintf("zones=%d/instances=%d", s.zones, s.perZone), func(b *testing.B) {
			for range b.N {
				c := newCluster(b, 1)
				c.fill(s.zones, s.perZone)
				updates := make([]Update, 0, len(c.nodes))
				for _, n := range c.nodes {
					updates = append(updates, n.core.table.byID[n.self.ID].Update)
				}
				before := heapInUse()
				const copies = 20
				var cores []*Core
				for range copies {
					core := New(c.settings, c.nodes[0].self, rand.New(rand.NewSource(1)))
					core.Step(c.now, "x", Message{Kind: Sync, Round: SyncRows, Updates: updates})
					core.View()
					core.Ready()
					cores = append(cores, core)
				}
				b.ReportMetric((float64(heapInUse())-float64(before))/copies, "B/core")
				runtime.KeepAlive(cores)
				runtime.KeepAlive(c)
				runtime.KeepAlive(updates)
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
