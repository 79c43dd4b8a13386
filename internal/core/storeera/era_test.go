package storeera

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func TestJudge(t *testing.T) {
	tests := []struct {
		name   string
		newest int64
		asked  Position
		got    int64
		want   Result
	}{
		{"same era", 3, Position{3, 100}, 3, Use},
		{"first read", 0, Position{0, FromStart}, 3, Use},
		{"replaced since the position", 3, Position{3, 100}, 4, Restart},
		{"replaced, found by another read", 4, Position{3, 100}, 4, Restart},
		{"replaced during the first read", 3, Position{3, FromStart}, 4, Use},
		{"late response of an earlier era", 4, Position{3, 100}, 3, Discard},
		{"late complete response of an earlier era", 4, Position{3, FromStart}, 3, Discard},
	}
	for _, tt := range tests {
		if got := Judge(tt.newest, tt.asked, tt.got); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// newSettled returns the Tracker of an instance that has followed the store since the first start.
func newSettled() *Tracker {
	t := NewTracker(true)
	t.ObserveEra(start, 1, false)
	return &t
}

func TestReadsProveNothingUntilLostVersionsAreBack(t *testing.T) {
	tr := newSettled()
	tr.RecordRead(10, true)
	if !tr.Proves(start, 10, 0) {
		t.Fatal("a read proves nothing before any replacement")
	}
	if !tr.ObserveEra(start, 2, true) || tr.ObserveEra(start, 1, true) || tr.Era() != 2 {
		t.Fatal("the replacement was not noticed, or an earlier era was taken for another one")
	}
	tr.RecordRead(9, true) // the copy lacks version 10
	for _, after := range []time.Duration{0, SettleTime, 10 * SettleTime} {
		if tr.Proves(start.Add(after), 10, 0) {
			t.Errorf("after %v: a read proves version 10, of which the store shows only 9", after)
		}
	}
	tr.Confirm(2) // by an instance that knows version 9 only
	if tr.Proves(start, 10, 0) {
		t.Error("a read proves version 10, of which the store shows only 9, once others found the era settled")
	}
	tr.RecordRead(10, false)
	if !tr.Proves(start, 10, 0) || !tr.Settled() {
		t.Error("a read proves nothing after version 10 was published again")
	}
}

// A copy that shows the version in force may still lack a later one that this instance
// has not seen. It would be published again within SettleTime, or LongSettleTime if this instance may lack more
// than what the store has lost.
func TestReadsProveNothingWhileLaterVersionsMayBeMissing(t *testing.T) {
	for proved, settle := range map[bool]time.Duration{true: SettleTime, false: LongSettleTime} {
		tr := newSettled()
		tr.ObserveEra(start, 2, proved)
		tr.RecordRead(10, true)
		if tr.Proves(start.Add(settle-time.Millisecond), 10, 0) {
			t.Errorf("proved before %v: a read proves the version in force although a later one may be missing", proved)
		}
		if !tr.Proves(start.Add(settle), 10, 0) {
			t.Errorf("proved before %v: a read proves nothing although the time to publish again is over", proved)
		}
	}
}

// The first read of a process proves nothing by itself: the store may have been replaced just before (CONFIG).
func TestFirstReadProvesNothing(t *testing.T) {
	tests := []struct {
		name  string
		first bool // the first start of the deployment
		after func(tr *Tracker) (now time.Time, known int64)
		want  bool
	}{
		{"at once", false, func(*Tracker) (time.Time, int64) { return start, 0 }, false},
		{"at the first start", true, func(*Tracker) (time.Time, int64) { return start, 0 }, true},
		{"others found the era settled", false, func(tr *Tracker) (time.Time, int64) {
			tr.Confirm(4)
			return start, 0
		}, true},
		{"others found an earlier era settled", false, func(tr *Tracker) (time.Time, int64) {
			tr.Confirm(3)
			return start, 0
		}, false},
		{"settled, another instance has a newer version", false, func(tr *Tracker) (time.Time, int64) {
			tr.Confirm(4)
			return start, 11
		}, false},
		{"the operator publishes", false, func(tr *Tracker) (time.Time, int64) {
			tr.RecordRead(10, false)
			return start, 0
		}, true},
		{"the operator has had the time", false, func(*Tracker) (time.Time, int64) { return start.Add(LongSettleTime), 0 }, true},
		{"the operator has had the time, another instance has a newer version", false, func(*Tracker) (time.Time, int64) {
			return start.Add(LongSettleTime), 11
		}, false},
	}
	for _, tt := range tests {
		tr := NewTracker(tt.first)
		tr.ObserveEra(start, 4, false)
		tr.RecordRead(10, true)
		now, known := tt.after(&tr)
		if got := tr.Proves(now, 10, known); got != tt.want {
			t.Errorf("%s: got proof %v, want %v", tt.name, got, tt.want)
		}
	}
}
