package quarantine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	deadly = entity.PartID("deadly")
	shared = entity.PartID("shared")
)

func at(d time.Duration) time.Time { return start.Add(d) }

// crashOf records that an engine crashes with one suspect and one run that is none.
func crashOf(t *Table, now time.Duration, n int, parts ...entity.PartID) {
	e := entity.EndpointID(fmt.Sprint("e", n))
	own := entity.PartID(fmt.Sprint("own", n, parts))
	t.RecordLoss(at(now), Loss{Endpoint: e, Incarnation: 1, Parts: append(parts, own)})
	t.RecordLoss(at(now), Loss{Endpoint: e, Incarnation: 1, Parts: []entity.PartID{own + "x"}, Answering: time.Second})
}

// ids returns the ids of the quarantined parts.
func ids(t *Table) []entity.PartID {
	out := []entity.PartID{}
	for _, q := range t.Quarantined() {
		out = append(out, q.Part)
	}
	return out
}

func expectQuarantined(t *testing.T, table *Table, want ...entity.PartID) {
	t.Helper()
	if diff := cmp.Diff(append([]entity.PartID{}, want...), ids(table)); diff != "" {
		t.Errorf("quarantined parts (-want +got):\n%s", diff)
	}
}

func TestPartOfThreeCrashesIsQuarantined(t *testing.T) {
	table := New()
	table.RecordAnswer(at(0), []entity.PartID{shared, "other"}, "")
	for n := range 3 {
		expectQuarantined(t, table)
		crashOf(table, time.Duration(n+1)*time.Second, n, shared, deadly)
	}
	expectQuarantined(t, table, deadly)
	d := table.Decide(at(4*time.Second), []entity.PartID{"another", deadly, "own9"})
	if d.Refused == nil || d.Refused.Part != deadly || d.Refused.Crashes != 3 {
		t.Errorf("got decision %+v, want a refusal for the deadly part after 3 crashes", d)
	}
	if d := table.Decide(at(4*time.Second), []entity.PartID{shared, "own9"}); d.Refused != nil {
		t.Errorf("got decision %+v for a sound request, want it sent", d)
	}
}

// Of two parts that are always together and that no answer has cleared, the deeper one is
// blamed.
func TestDeeperOfTwoPartsIsBlamed(t *testing.T) {
	table := New()
	for n := range 4 {
		crashOf(table, time.Duration(n+1)*time.Second, n, shared, deadly)
	}
	expectQuarantined(t, table, deadly)
}

func TestAnsweringRunsAreNoSuspects(t *testing.T) {
	table := New()
	for n := range 10 {
		table.RecordLoss(at(time.Duration(n)*time.Second), Loss{Endpoint: entity.EndpointID(fmt.Sprint(n)), Parts: []entity.PartID{shared, "own"}, Answering: SoundAfter})
	}
	expectQuarantined(t, table)
}

// Engines that end at the same moment were not ended one by one by a part.
func TestCrashesAtTheSameMomentCountOnce(t *testing.T) {
	table := New()
	for n := range 10 {
		crashOf(table, time.Second, n, deadly)
	}
	expectQuarantined(t, table)
}

// A part that was sound before its crashes may have become deadly: it is suspected where no
// part is that was never sound.
func TestPartThatWasSoundBeforeIsQuarantined(t *testing.T) {
	table := New()
	table.RecordAnswer(at(0), []entity.PartID{shared, "own"}, "")
	for n := range 4 {
		expectQuarantined(t, table)
		crashOf(table, time.Duration(n+1)*time.Second, n, shared)
	}
	expectQuarantined(t, table, shared)
}

// A request that is resumed each time may be lost with several engines by chance.
func TestOneRequestDoesNotQuarantineAPart(t *testing.T) {
	table := New()
	for n := range 10 {
		e := entity.EndpointID(fmt.Sprint("e", n))
		table.RecordLoss(at(time.Duration(n)*time.Second), Loss{Endpoint: e, Parts: []entity.PartID{shared, "own"}})
		table.RecordLoss(at(time.Duration(n)*time.Second), Loss{Endpoint: e, Parts: []entity.PartID{"x"}, Answering: time.Second})
	}
	expectQuarantined(t, table)
}

func TestAnswerReleasesAPart(t *testing.T) {
	table := New()
	for n := range 4 {
		crashOf(table, time.Duration(n+1)*time.Second, n, deadly)
	}
	changes := table.Changes()
	table.RecordAnswer(at(5*time.Second), []entity.PartID{deadly, "own"}, "")
	expectQuarantined(t, table)
	changes = append(changes, table.Changes()...)
	if len(changes) != 2 || changes[0].Released || !changes[1].Released {
		t.Errorf("got changes %+v, want the part quarantined, then released", changes)
	}
}

func TestCrashesAreForgotten(t *testing.T) {
	table := New()
	for n := range 4 {
		crashOf(table, time.Duration(n+1)*time.Second, n, deadly)
	}
	table.Expire(at(EvidenceFor))
	expectQuarantined(t, table, deadly)
	table.Expire(at(EvidenceFor + 4*time.Second))
	expectQuarantined(t, table)
}

// Only one instance tries a quarantined part, with one request, and ever more rarely.
func TestTrialsAreRare(t *testing.T) {
	table := New()
	for n := range 3 {
		crashOf(table, time.Duration(n)*time.Second, n, deadly)
	}
	parts := []entity.PartID{deadly, "own"}
	if d := table.Decide(at(5*time.Minute), parts); d.Refused == nil {
		t.Fatal("got a trial at an instance that makes none")
	}
	table.SetTrials(true)
	var trials []time.Duration
	for now := 2 * time.Second; now < 8*time.Minute; now += time.Second {
		if table.Decide(at(now), parts).Trial {
			trials = append(trials, now.Round(time.Minute))
			crashOf(table, now+100*time.Millisecond, 100+len(trials), deadly)
		}
	}
	if diff := cmp.Diff([]time.Duration{time.Minute, 3 * time.Minute, 7 * time.Minute}, trials); diff != "" {
		t.Errorf("times of trials (-want +got):\n%s", diff)
	}
}

// A request with two quarantined parts proves nothing about either.
func TestRequestWithTwoQuarantinedPartsIsNoTrial(t *testing.T) {
	table := New()
	for n := range 3 {
		crashOf(table, time.Duration(n)*time.Second, n, "deadly1")
		crashOf(table, time.Duration(n)*time.Second+500*time.Millisecond, 10+n, "deadly2")
	}
	table.SetTrials(true)
	if d := table.Decide(at(5*time.Minute), []entity.PartID{"deadly1", "deadly2", "own"}); d.Trial {
		t.Error("got a trial, want a refusal")
	}
}

// Instances with the same records agree, in whatever order they received them.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var states []*State
		for range 4 {
			source := New()
			for range 8 {
				n := rng.IntN(12)
				now := time.Duration(n) * time.Second
				part := entity.PartID(fmt.Sprint("p", rng.IntN(3)))
				crashOf(source, now, 10*n+rng.IntN(3), shared, part)
				if rng.IntN(4) == 0 {
					source.RecordAnswer(at(time.Duration(rng.IntN(12))*time.Second+time.Millisecond), []entity.PartID{shared, part, "own"}, "")
				}
			}
			states = append(states, source.StateSince(at(20*time.Second), 0))
		}
		a, b := New(), New()
		for i := range states {
			a.Merge(at(20*time.Second), states[i])
			b.Merge(at(20*time.Second), states[len(states)-1-i])
		}
		if diff := cmp.Diff(ids(a), ids(b)); diff != "" {
			t.Errorf("seed %d: quarantined parts differ:\n%s", seed, diff)
		}
	}
}

// A peer that has everything is sent nothing, and nothing that it sent comes back as news.
func TestOnlyChangesAreSent(t *testing.T) {
	a, b := New(), New()
	crashOf(a, time.Second, 1, shared, deadly)
	b.Merge(at(time.Second), a.StateSince(at(time.Second), 0))
	if s := a.StateSince(at(2*time.Second), a.Version()); s != nil {
		t.Errorf("got state %+v, want none", s)
	}
	before := a.Version()
	a.Merge(at(2*time.Second), b.StateSince(at(2*time.Second), 0))
	if a.Version() != before {
		t.Error("an instance's own records came back as a change")
	}
	crashOf(a, 3*time.Second, 2, shared, deadly)
	if s := a.StateSince(at(3*time.Second), before); s == nil || len(s.Crashes) != 1 {
		t.Errorf("got state %+v, want the second crash only", s)
	}
}

// Whatever is lost, the records and the messages stay small.
func TestRecordsAreBounded(t *testing.T) {
	const maxBytes = 256 << 10
	table := New()
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range 20000 {
		parts := make([]entity.PartID, 20)
		for i := range parts {
			parts[i] = entity.PartID(fmt.Sprintf("%016x", rng.Uint64()))
		}
		now := at(time.Duration(n) * time.Millisecond)
		table.RecordLoss(now, Loss{Endpoint: entity.EndpointID(fmt.Sprint("i-", n/40)), Parts: parts})
		table.RecordAnswer(now, parts[10:], "")
	}
	if len(table.crashes) > maxCrashes || len(table.sound) > maxCrashes*maxRuns*maxParts || len(table.served.current)+len(table.served.previous) > 2*maxServed+20 {
		t.Errorf("got %d crashes, %d sound parts, %d served", len(table.crashes), len(table.sound), len(table.served.current)+len(table.served.previous))
	}
	b, err := json.Marshal(table.StateSince(at(time.Minute), 0))
	if err != nil || len(b) > maxBytes {
		t.Errorf("a complete state has %d bytes, error %v, want at most %d", len(b), err, maxBytes)
	}
}

// The crashes of a quarantined part are kept while many others are recorded.
func TestQuarantineOutlastsManyOtherCrashes(t *testing.T) {
	table := New()
	for n := range 3 {
		crashOf(table, time.Duration(n)*time.Second, n, deadly)
	}
	for n := range 4 * maxCrashes {
		crashOf(table, 5*time.Second+time.Duration(n)*200*time.Millisecond, 10+n, entity.PartID(fmt.Sprint("rare", n)))
	}
	expectQuarantined(t, table, deadly)
}

// FuzzMerge checks that no message breaks the bounds of the records.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(`{"c":[{"e":"a","a":1,"r":[{"o":"x","p":["y","z"]}]}],"s":[{"p":"y","a":5}]}`))
	f.Add([]byte(`{"c":[{"e":"a","a":-9223372036854775808,"r":[{"o":"","p":[""]}]}],"s":[{"p":"","a":-1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s State
		if json.Unmarshal(data, &s) != nil {
			return
		}
		table := New()
		table.Merge(start, &s)
		table.Decide(start, []entity.PartID{"y"})
		table.Expire(start.Add(time.Hour))
		if len(table.crashes) > 0 || len(table.quarantined) > 0 {
			t.Errorf("got %d crashes and %d quarantined parts an hour later, want none", len(table.crashes), len(table.quarantined))
		}
	})
}

// An instance that was suspended notices the loss of its runs seconds after the others. It
// must not take their suspects' place.
func TestLateLossKeepsTheCrash(t *testing.T) {
	table := New()
	for n := range 3 {
		now := time.Duration(n+1) * time.Second
		crashOf(table, now, n, deadly)
	}
	for n := range 3 {
		e := entity.EndpointID(fmt.Sprint("e", n))
		table.RecordLoss(at(10*time.Second), Loss{Endpoint: e, Incarnation: 1, Parts: []entity.PartID{"rare", "late"}})
	}
	expectQuarantined(t, table, deadly)
}

// A part that comes rarely is found beside engines that reset many connections all the time.
func TestRareDeadlyPartIsFoundBesideManyLosses(t *testing.T) {
	table := New()
	crashes := 0
	for now := time.Duration(0); now < time.Minute; now += 40 * time.Millisecond {
		n := int(now / (40 * time.Millisecond))
		part := entity.PartID(fmt.Sprint("pool", n%50))
		own := entity.PartID(fmt.Sprint("grey", n))
		table.RecordLoss(at(now), Loss{Endpoint: entity.EndpointID(fmt.Sprint("g", n%5)), Parts: []entity.PartID{part, own}})
		table.RecordAnswer(at(now+10*time.Millisecond), []entity.PartID{entity.PartID(fmt.Sprint("pool", (n*7)%50)), own + "x"}, "")
		if now%(10*time.Second) == 0 {
			crashOf(table, now, n, shared, deadly)
			crashes++
		}
		table.Quarantined()
	}
	expectQuarantined(t, table, deadly)
	if crashes > 6 {
		t.Errorf("played %d crashes, want at most 6", crashes)
	}
}

// A part with many crashes of one request must not hide one with enough evidence.
func TestResumedRequestHidesNoDeadlyPart(t *testing.T) {
	table := New()
	for n := range 10 {
		e := entity.EndpointID(fmt.Sprint("r", n))
		table.RecordLoss(at(time.Duration(n)*time.Second), Loss{Endpoint: e, Parts: []entity.PartID{shared, "own"}})
	}
	for n := range 3 {
		crashOf(table, 20*time.Second+time.Duration(n)*time.Second, n, deadly)
	}
	expectQuarantined(t, table, deadly)
}
