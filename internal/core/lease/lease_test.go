package lease

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/platform"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func candidate(t testing.TB, id entity.InstanceID) *Lease {
	t.Helper()
	l, err := New(Settings{Name: "orders", Instance: id})
	if err != nil {
		t.Fatal(err)
	}
	l.Campaign(start, 0)
	return l
}

type records []platform.Record

func (r *records) append(now time.Time, data []byte) {
	*r = append(*r, platform.Record{Offset: platform.Offset(len(*r)), Time: now, Data: data})
}

// step ticks a lease and serves it until it asks for nothing more.
func step(now time.Time, l *Lease, log *records) {
	l.Tick(now)
	for {
		r := l.Ready()
		if r.Append != nil {
			log.append(now, r.Append.Data)
			l.AppendResult(now, r.Append.ID, stream.AppendDone)
		}
		if r.Read != nil {
			l.ApplyRecords(now, (*log)[r.Read.From:], 0, platform.Offset(len(*log)))
		}
		if r.Append == nil && r.Read == nil {
			return
		}
	}
}

func holder(t *testing.T, log *records) *Lease {
	t.Helper()
	l := candidate(t, "a")
	step(start, l, log)
	if _, held := l.StillHeld(start); !held {
		t.Fatal("not held")
	}
	return l
}

func TestHolderCountsFromBeforeItSent(t *testing.T) {
	var log records
	l := holder(t, &log)
	sent := start.Add(DefaultRenewEvery)
	l.Tick(sent)
	r := l.Ready()
	log.append(sent, r.Append.Data)
	read := sent.Add(8 * time.Second) // the read was slow
	l.ApplyRecords(read, log, 0, platform.Offset(len(log)))
	until := sent.Add(l.set.shorten(DefaultTerm))
	if _, held := l.StillHeld(until.Add(-time.Millisecond)); !held {
		t.Error("the renewal doesn't count")
	}
	if _, held := l.StillHeld(until); held {
		t.Error("held for longer than a term after the renewal was sent")
	}
}

func TestRenewalDoesNotCountBeforeItIsReadBack(t *testing.T) {
	var log records
	l := holder(t, &log)
	now := start.Add(DefaultRenewEvery)
	l.Tick(now)
	r := l.Ready()
	l.AppendResult(now, r.Append.ID, stream.AppendDone)
	if _, held := l.StillHeld(start.Add(DefaultTerm)); held {
		t.Error("held on the word of an append")
	}
}

func TestFirstOfTwoAcquisitionsWins(t *testing.T) {
	a, b := candidate(t, "a"), candidate(t, "b")
	for _, l := range []*Lease{a, b} {
		if r := l.Ready(); r.Read != nil {
			l.ApplyRecords(start, nil, 0, 0)
		}
	}
	var log records
	for _, l := range []*Lease{b, a} {
		log.append(start, l.Ready().Append.Data)
	}
	for _, l := range []*Lease{a, b} {
		l.ApplyRecords(start, log, 0, 2)
		if h, fence := l.Holder(); h != "b" || fence != 0 {
			t.Errorf("held by %s under %d", h, fence)
		}
	}
	if _, held := a.StillHeld(start); held {
		t.Error("the loser holds")
	}
	if _, held := b.StillHeld(start); !held {
		t.Error("the winner doesn't hold")
	}
}

// A holder that retention has overtaken can't know what it has missed.
func TestOvertakenHolderHoldsNoMore(t *testing.T) {
	var log records
	l := holder(t, &log)
	renewal := encode(record{ID: uint64(l.seq), Lease: "orders", From: "a", Op: opRenew, Fence: 0, Term: DefaultTerm.Milliseconds()})
	l.ApplyRecords(start, []platform.Record{{Offset: 50, Data: renewal}}, 50, 51)
	if _, held := l.StillHeld(start); held {
		t.Error("held after a gap")
	}
}

func TestUnfencedWritesWaitForTheLongestOrder(t *testing.T) {
	var log records
	l := holder(t, &log)
	if _, ok := l.MayWrite(start, true); !ok {
		t.Error("may not write to an endpoint that checks")
	}
	if _, ok := l.MayWrite(start.Add(DefaultMaxOrderDuration), false); ok {
		t.Error("writes to an endpoint that doesn't check too early")
	}
	if _, ok := l.MayWrite(start.Add(l.set.lengthen(DefaultMaxOrderDuration)), false); !ok {
		t.Error("still waits")
	}
}

func TestLogOutageEndsTheLeaseAndItIsRenewedAfter(t *testing.T) {
	var log records
	l := holder(t, &log)
	now := start
	for range 100 { // no answer to anything for a while
		now = now.Add(300 * time.Millisecond)
		l.Tick(now)
		l.Ready()
	}
	if _, held := l.StillHeld(now); held {
		t.Error("held through the outage")
	}
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		step(now, l, &log)
	}
	if fence, held := l.StillHeld(now); !held || fence != 0 {
		t.Errorf("held %v under %d after the outage", held, fence)
	}
}

func TestSettingsThatCannotHoldAreRefused(t *testing.T) {
	for name, set := range map[string]Settings{
		"no name":        {Instance: "a"},
		"short term":     {Name: "x", Instance: "a", Term: 5 * time.Second},
		"unusable clock": {Name: "x", Instance: "a", MaxClockDrift: 0.5},
	} {
		if _, err := New(set); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(record{ID: 1, Lease: "orders", From: "a", Op: opAcquire, Basis: 4}))
	f.Add([]byte(`{"v":1,"lease":"","from":"a"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decode(data)
		if err == nil && (r.Lease == "" || r.From == "" || len(data) > maxRecordBytes) {
			t.Errorf("accepted %+v", r)
		}
		var v view
		v.applyRecord(start, 3, &r)
	})
}
