package main

import (
	"math"
	"strings"
	"testing"
	"time"
)

const benchOutput = `goos: linux
pkg: github.com/medlarhold/medlarhold/internal/core/limit
BenchmarkAdmit/orgs=100-12     	  170377	       100 ns/op	      24 B/op	       1 allocs/op
BenchmarkAdmit/orgs=1000-12    	  157185	      1000 ns/op	      24 B/op	       1 allocs/op
BenchmarkAdmit/orgs=10000-12   	   74209	     10000 ns/op	      24 B/op	       1 allocs/op
BenchmarkPlain-12   	   74209	     10000 ns/op
PASS
`

func TestBenchmarksAreReadBySize(t *testing.T) {
	all := parseBenchmarks([]byte(benchOutput))
	if len(all) != 1 || all[0].pkg != "core/limit" || all[0].variable != "orgs" || len(all[0].points) != 3 {
		t.Fatalf("got %+v, want one series of three sizes", all)
	}
	if e := exponent(all[0].points, "ns/op"); math.Abs(e-1) > 1e-9 {
		t.Errorf("linear values: got exponent %v, want 1", e)
	}
	if e := exponent(all[0].points, "B/op"); math.Abs(e) > 1e-9 {
		t.Errorf("constant values: got exponent %v, want 0", e)
	}
	if got := slopeTable(all); strings.Contains(got, "worse") || !strings.Contains(got, "100: 100, 1000: 1000, 10000: 1e+04") {
		t.Errorf("got a table with a mark or without the figures by size:\n%s", got)
	}
}

func TestSteepSlopesAreMarked(t *testing.T) {
	s := series{name: "BenchmarkX", variable: "n"}
	for _, n := range []float64{10, 100, 1000} {
		s.points = append(s.points, point{size: n, units: map[string]float64{"ns/op": n * n}})
	}
	if got := slopeTable([]series{s}); !strings.Contains(got, "**worse than linear**") {
		t.Errorf("quadratic values are not marked:\n%s", got)
	}
}

func TestTablesAreReplacedBetweenTheirMarkers(t *testing.T) {
	src := "before\n<!-- measured:a -->\nold\n<!-- /measured:a -->\nafter\n<!-- measured:b -->\n<!-- /measured:b -->\n"
	got, err := replaceBetween(src, "a", "new\n")
	want := strings.Replace(src, "old", "new", 1)
	if err != nil || got != want {
		t.Errorf("got %q, error %v, want %q", got, err, want)
	}
	if _, err := replaceBetween(src, "c", "new"); err == nil {
		t.Error("got no error for a table without markers")
	}
}

func TestRatesBetweenSamples(t *testing.T) {
	at := time.Unix(1000, 0)
	peer, claims := traffic{"peer", "control"}, traffic{"platform", "request"}
	a := sample{at: at, bytes: map[traffic]float64{peer: 100, claims: 50}, cpuSec: 1}
	b := sample{at: at.Add(10 * time.Second), bytes: map[traffic]float64{peer: 1100, claims: 250}, cpuSec: 1.5, residentBytes: 3 * megabyte}
	r := ratesBetween(a, b)
	if r.control != 100 || r.request != 20 || r.cpu != 0.05 || r.residentMB != 3 {
		t.Errorf("got rates %+v, want control 100, request 20, cpu 0.05 and residentMB 3", r)
	}
	m, maxControl, _ := mean([]rates{r, {control: 300}})
	if m.control != 200 || maxControl != 300 {
		t.Errorf("got mean %v and maximum %v, want 200 and 300", m.control, maxControl)
	}
}
