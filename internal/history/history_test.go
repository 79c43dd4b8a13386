package history

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func load(t *testing.T, path string) []Event {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	events, err := Read(f)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

func TestGoodHistoryHasNoViolations(t *testing.T) {
	for _, v := range Check(load(t, "testdata/good.jsonl")) {
		t.Errorf("unexpected violation: %+v", v)
	}
}

// Each file bad-GUARANTEE[-VARIANT].jsonl violates the guarantee in its name once,
// and no other. Every check must have at least one such file.
func TestBadHistoriesAreFound(t *testing.T) {
	paths, err := filepath.Glob("testdata/bad-*.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	covered := make(map[Guarantee]bool)
	for _, path := range paths {
		name := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(path), "bad-"), ".jsonl")
		guarantee, _, _ := strings.Cut(name, "-")
		covered[Guarantee(guarantee)] = true
		t.Run(name, func(t *testing.T) {
			vs := Check(load(t, path))
			if len(vs) != 1 || vs[0].Guarantee != Guarantee(guarantee) {
				t.Fatalf("got %+v, want one violation of %s", vs, guarantee)
			}
		})
	}
	if len(covered) != len(checks) {
		t.Errorf("bad histories cover %d guarantees, want %d", len(covered), len(checks))
	}
}

func TestEventOrderDoesNotMatter(t *testing.T) {
	events := load(t, "testdata/bad-tier_order.jsonl")
	want := Check(events)
	for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
		events[i], events[j] = events[j], events[i]
	}
	if diff := cmp.Diff(want, Check(events)); diff != "" {
		t.Errorf("violations with the events in reverse order (-want +got):\n%s", diff)
	}
}

func TestKeyMayRunAgainAfterTheWindow(t *testing.T) {
	events := load(t, "testdata/bad-one_run_per_key.jsonl")
	lim := DefaultLimits
	lim.Window = 4 * time.Second
	if vs := CheckWithLimits(events, lim); len(vs) != 0 {
		t.Errorf("got violations %+v, want none", vs)
	}
}

func TestRecorderRoundTrip(t *testing.T) {
	var r Recorder
	for _, e := range load(t, "testdata/good.jsonl") {
		r.Add(e)
	}
	var buf bytes.Buffer
	if err := Write(&buf, r.Events()); err != nil {
		t.Fatal(err)
	}
	got, err := Read(&buf)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(r.Events(), got); diff != "" {
		t.Errorf("events after Write and Read (-want +got):\n%s", diff)
	}
}
