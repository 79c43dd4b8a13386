package main

import (
	"math"
	"strings"
	"testing"
	"time"
)

const benchOutput = `goos: linux
pkg: github.com/medlarhold/medlarhold/internal/core/limit
BenchmarkTake/orgs=100-12     	  170377	       100 ns/op	      24 B/op	       1 allocs/op
BenchmarkTake/orgs=1000-12    	  157185	      1000 ns/op	      24 B/op	       1 allocs/op
BenchmarkTake/orgs=10000-12   	   74209	     10000 ns/op	      24 B/op	       1 allocs/op
BenchmarkPlain-12   	   74209	     10000 ns/op
PASS
`

func TestBenchmarksAreReadBySize(t *testing.T) {
	all := parseBenchmarks([]byte(benchOutput))
	if len(all) != 1 || all[0].pkg != "core/limit" || all[0].variable != "orgs" || len(all[0].points) != 3 {
		t.Fatalf("%+v", all)
	}
	if e := exponent(all[0].points, "ns/op"); math.Abs(e-1) > 1e-9 {
		t.Errorf("linear figures have the exponent %v", e)
	}
	if e := exponent(all[0].points, "B/op"); math.Abs(e) > 1e-9 {
		t.Errorf("constant figures have the exponent %v", e)
	}
	if got := slopeTable(all); strings.Contains(got, "worse") || !strings.Contains(got, "100: 100, 1000: 1000, 10000: 1e+04") {
		t.Errorf("table:\n%s", got)
	}
}

func TestSteepSlopesAreMarked(t *testing.T) {
	s := series{name: "BenchmarkX", variable: "n"}
	for _, n := range []float64{10, 100, 1000} {
		s.points = append(s.points, point{size: n, units: map[string]float64{"ns/op": n * n}})
	}
	if got := slopeTable([]series{s}); !strings.Contains(got, "**worse than linear**") {
		t.Errorf("a square is not marked:\n%s", got)
	}
}

func TestTablesAreReplacedBetweenTheirMarkers(t *testing.T) {
	src := "before\n<!-- measured:a -->\nold\n<!-- /measured:a -->\nafter\n<!-- measured:b -->\n<!-- /measured:b -->\n"
	got, err := replaceBetween(src, "a", "new\n")
	want := strings.Replace(src, "old", "new", 1)
	if err != nil || got != want {
		t.Errorf("got %q, %v", got, err)
	}
	if _, err := replaceBetween(src, "c", "new"); err == nil {
		t.Error("a table without markers was replaced")
	}
}

func TestRatesBetweenSamples(t *testing.T) {
	at := time.Unix(1000, 0)
	peer, claims := traffic{"peer", "control"}, traffic{"platform", "request"}
	a := sample{at: at, bytes: map[traffic]float64{peer: 100, claims: 50}, cpuSec: 1}
	b := sample{at: at.Add(10 * time.Second), bytes: map[traffic]float64{peer: 1100, claims: 250}, cpuSec: 1.5, residentBytes: 3 * megabyte}
	r := between(a, b)
	if r.control != 100 || r.request != 20 || r.cpu != 0.05 || r.residentMB != 3 {
		t.Errorf("%+v", r)
	}
	m, most, _ := mean([]rates{r, {control: 300}})
	if m.control != 200 || most != 300 {
		t.Errorf("mean %v, most %v", m.control, most)
	}
}
