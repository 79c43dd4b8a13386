package lease

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/platform"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// candidate returns a lease at instance id that is a candidate of rank 0.
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

// step ticks a lease and performs its appends and reads until it requests no more.
func step(now time.Time, l *Lease, log *records) {
	l.Tick(now)
	for {
		r := l.Ready()
		if r.Append != nil {
			log.append(now, r.Append.Data)
			l.HandleAppendResult(now, r.Append.ID, stream.AppendDone)
		}
		if r.Read != nil {
			l.ApplyRecords(now, (*log)[r.Read.From:], 0, platform.Offset(len(*log)))
		}
		if r.Append == nil && r.Read == nil {
			return
		}
	}
}

// holder returns a lease that instance a has just acquired.
func holder(t *testing.T, log *records) *Lease {
	t.Helper()
	l := candidate(t, "a")
	step(start, l, log)
	if _, held := l.StillHeld(start); !held {
		t.Fatal("got not held after the acquisition, want held")
	}
	return l
}

// A renewal that is read back late must not extend the lease beyond a term after it
// was sent: other instances may have read it earlier, and measure the term from then.
func TestHolderMeasuresTermFromSending(t *testing.T) {
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
		t.Error("got not held within a term after the renewal was sent")
	}
	if _, held := l.StillHeld(until); held {
		t.Error("got held for longer than a term after the renewal was sent")
	}
}

func TestRenewalDoesNotCountBeforeItIsReadBack(t *testing.T) {
	var log records
	l := holder(t, &log)
	now := start.Add(DefaultRenewEvery)
	l.Tick(now)
	r := l.Ready()
	l.HandleAppendResult(now, r.Append.ID, stream.AppendDone)
	if _, held := l.StillHeld(start.Add(DefaultTerm)); held {
		t.Error("got held after the term, though the renewal was only appended and not read back")
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
			t.Errorf("got holder %s with fencing number %d, want b with 0", h, fence)
		}
	}
	if _, held := a.StillHeld(start); held {
		t.Error("got instance a holding the lease, want only b")
	}
	if _, held := b.StillHeld(start); !held {
		t.Error("got instance b not holding the lease, want it held by b")
	}
}

// A holder that retention has overtaken loses the lease, since the records it has
// missed may contain another acquisition.
func TestOvertakenHolderLosesTheLease(t *testing.T) {
	var log records
	l := holder(t, &log)
	renewal := encode(record{ID: uint64(l.seq), Lease: "orders", From: "a", Op: opRenew, Fence: 0, Term: DefaultTerm.Milliseconds()})
	l.ApplyRecords(start, []platform.Record{{Offset: 50, Data: renewal}}, 50, 51)
	if _, held := l.StillHeld(start); held {
		t.Error("got held after a gap in the records")
	}
}

func TestUnfencedOrdersWaitForMaxOrderDuration(t *testing.T) {
	var log records
	l := holder(t, &log)
	if _, ok := l.MaySendOrder(start, true); !ok {
		t.Error("got no permission to send an order to an endpoint that checks fencing numbers")
	}
	if _, ok := l.MaySendOrder(start.Add(DefaultMaxOrderDuration), false); ok {
		t.Error("got permission to send an order to an endpoint that doesn't check fencing numbers before earlier orders have ended")
	}
	if _, ok := l.MaySendOrder(start.Add(l.set.lengthen(DefaultMaxOrderDuration)), false); !ok {
		t.Error("got no permission to send an order after earlier orders have ended")
	}
}

func TestLeaseExpiresInLogOutageAndIsRenewedAfter(t *testing.T) {
	var log records
	l := holder(t, &log)
	now := start
	for range 100 { // the log gives no answer for 30 s
		now = now.Add(300 * time.Millisecond)
		l.Tick(now)
		l.Ready()
	}
	if _, held := l.StillHeld(now); held {
		t.Error("got held at the end of the outage")
	}
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		step(now, l, &log)
	}
	if fence, held := l.StillHeld(now); !held || fence != 0 {
		t.Errorf("after the outage: got held %v with fencing number %d, want true with 0", held, fence)
	}
}

func TestInconsistentSettingsAreRejected(t *testing.T) {
	for name, set := range map[string]Settings{
		"no name":        {Instance: "a"},
		"short term":     {Name: "x", Instance: "a", Term: 5 * time.Second},
		"unusable clock": {Name: "x", Instance: "a", MaxClockDrift: 0.5},
	} {
		if _, err := New(set); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(record{ID: 1, Lease: "orders", From: "a", Op: opAcquire, Basis: 4}))
	f.Add([]byte(`{"v":1,"lease":"","from":"a"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decode(data)
		if err == nil && (r.Lease == "" || r.From == "" || len(data) > maxRecordBytes) {
			t.Errorf("got no error for the invalid record %+v", r)
		}
		var v view
		v.applyRecord(start, 3, &r)
	})
}
