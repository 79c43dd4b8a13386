package limit

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// orgsInUse are the numbers of organisations that send requests through one instance.
var orgsInUse = []int{100, 1000, 10000}

func benchOrg(i int) entity.OrgID { return entity.OrgID(fmt.Sprintf("organisation-%05d", i)) }

// benchBorrower returns a borrower with n accounts in a zone of 31 instances.
func benchBorrower(n int) (*Borrower, time.Time) {
	now := time.Unix(1000, 0)
	b := NewBorrower(DefaultSettings(), func(entity.OrgID) (Limit, bool) { return Limit{Rate: 2000, Burst: 4000, Concurrent: 3000}, true })
	z := Zone{FleetSize: 470}
	for i := range 31 {
		z.Members = append(z.Members, entity.Instance{ID: entity.InstanceID(fmt.Sprintf("i%02d", i))})
	}
	b.SetZone(now, z)
	for i := range n {
		b.Admit(now, benchOrg(i))
		b.Done(now, benchOrg(i))
	}
	b.Ready()
	return b, now
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range orgsInUse {
		b.Run(fmt.Sprintf("orgs=%d", n), func(b *testing.B) {
			br, now := benchBorrower(n)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				org := benchOrg(i % n)
				br.Admit(now, org)
				br.Done(now, org)
			}
		})
	}
}

// BenchmarkBorrowerSecond simulates one second per iteration with n accounts in
// use, and reports the bytes of the demands.
func BenchmarkBorrowerSecond(b *testing.B) {
	for _, n := range orgsInUse {
		b.Run(fmt.Sprintf("orgs=%d", n), func(b *testing.B) {
			br, now := benchBorrower(n)
			size, seconds := 0, 0
			for b.Loop() {
				for i := range n {
					br.Admit(now, benchOrg(i))
					br.Done(now, benchOrg(i))
				}
				for range 20 {
					now = now.Add(50 * time.Millisecond)
					br.Tick(now)
				}
				for _, m := range br.Ready().Messages {
					data, _ := json.Marshal(m.Demand)
					size += len(data)
				}
				seconds++
			}
			b.ReportMetric(float64(size)/float64(seconds), "B/s")
		})
	}
}

// benchZone is one borrower with all homes of its zone.
type benchZone struct {
	borrower *Borrower
	homes    map[entity.InstanceID]*Home
	now      time.Time
	// bytes and messages are totals over demands and shares.
	bytes, messages int
}

func newBenchZone() *benchZone {
	br, now := benchBorrower(0)
	z := &benchZone{borrower: br, homes: make(map[entity.InstanceID]*Home), now: now}
	view := Zone{FleetSize: 470}
	for i := range 31 {
		view.Members = append(view.Members, entity.Instance{ID: entity.InstanceID(fmt.Sprintf("i%02d", i))})
	}
	for _, m := range view.Members {
		h := NewHome(DefaultSettings(), m.ID, br.contracts)
		h.SetZone(now, view)
		z.homes[m.ID] = h
	}
	return z
}

// second simulates one second in 20 ticks; messages arrive within their tick.
func (z *benchZone) second() {
	const ticks = 20
	for range ticks {
		z.now = z.now.Add(time.Second / ticks)
		z.borrower.Tick(z.now)
		for _, m := range z.borrower.Ready().Messages {
			z.count(m.Demand)
			z.homes[m.To].Step(z.now, "i00", *m.Demand)
		}
		for id, h := range z.homes {
			h.Tick(z.now)
			for _, m := range h.Ready().Messages {
				z.count(m.Share)
				z.borrower.Step(z.now, id, *m.Share)
			}
		}
	}
}

func (z *benchZone) count(msg any) {
	data, _ := json.Marshal(msg)
	z.bytes += len(data)
	z.messages++
}

// BenchmarkBorrowerAtRate simulates one second per iteration with perSec requests
// of organisations drawn from a Zipf distribution. It reports the demands and
// shares of one borrower and the number of its accounts.
func BenchmarkBorrowerAtRate(b *testing.B) {
	for _, perSec := range []int{21, 85, 340} {
		b.Run(fmt.Sprintf("requests=%d", perSec), func(b *testing.B) {
			z := newBenchZone()
			zipf := rand.NewZipf(rand.New(rand.NewSource(1)), 1.1, 10, targetOrgs-1)
			second := func() {
				for range perSec {
					org := benchOrg(int(zipf.Uint64()))
					z.borrower.Admit(z.now, org)
					z.borrower.Done(z.now, org)
				}
				z.second()
			}
			for range 30 {
				second()
			}
			z.bytes, z.messages = 0, 0
			seconds := 0
			for b.Loop() {
				second()
				seconds++
			}
			b.ReportMetric(float64(z.bytes)/float64(seconds), "B/s")
			b.ReportMetric(float64(z.messages)/float64(seconds), "messages/s")
			b.ReportMetric(float64(len(z.borrower.accounts)), "accounts")
		})
	}
}

func BenchmarkAccountMemory(b *testing.B) {
	for _, n := range orgsInUse {
		b.Run(fmt.Sprintf("orgs=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				br, _ := benchBorrower(n)
				b.ReportMetric(float64(heapInUse()-before)/float64(n), "B/org")
				runtime.KeepAlive(br)
			}
		})
	}
}
