package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// benchPackages are the packages with the benchmarks of the decision cores.
const benchPackages = "./internal/config ./internal/core/..."

// skippedBenchmarks matches the benchmarks of whole fleets. They take many minutes;
// the page gives the command that runs them.
const skippedBenchmarks = "^BenchmarkTraffic.+"

// benchTime is how long each size of a benchmark runs.
const benchTime = "0.2s"

// minPoints is the number of sizes that the fit of an exponent needs.
const minPoints = 3

// maxLinearExponent is the exponent above which a benchmark is marked as worse than linear.
const maxLinearExponent = 1.15

// point is one size of a benchmark with its measured values by unit.
type point struct {
	size  float64
	units map[string]float64
}

// series holds the results of one benchmark for several sizes.
type series struct {
	pkg, name, variable string
	points              []point
}

// benchmarks runs the benchmarks of all cores and returns those with a size.
func benchmarks(ctx context.Context) ([]series, error) {
	args := append([]string{"test", "-run", "^$", "-bench", ".", "-skip", skippedBenchmarks, "-benchmem", "-benchtime", benchTime, "-p", "1"}, strings.Fields(benchPackages)...)
	out, err := exec.CommandContext(ctx, "go", args...).Output()
	if err != nil {
		return nil, trace.Wrap(err, "go test -bench: %s", out)
	}
	fmt.Fprintf(os.Stderr, "%s", out)
	return parseBenchmarks(out), nil
}

// sizedName matches the last part of a benchmark's name: variable=size-procs.
var sizedName = regexp.MustCompile(`^(Benchmark\S*)/(\w+)=(\d+)(?:-\d+)?$`)

// parseBenchmarks returns the benchmarks with sizes from the output of
// go test -bench.
func parseBenchmarks(out []byte) []series {
	var all []series
	pkg := ""
	lines := bufio.NewScanner(bytes.NewReader(out))
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		if len(f) >= 2 && f[0] == "pkg:" {
			pkg = f[1][strings.Index(f[1], "/internal/")+len("/internal/"):]
		}
		if len(f) < 4 {
			continue
		}
		m := sizedName.FindStringSubmatch(f[0])
		if m == nil {
			continue
		}
		size, _ := strconv.ParseFloat(m[3], 64)
		p := point{size: size, units: make(map[string]float64)}
		for i := 2; i+1 < len(f); i += 2 {
			if v, err := strconv.ParseFloat(f[i], 64); err == nil {
				p.units[f[i+1]] = v
			}
		}
		i := slices.IndexFunc(all, func(s series) bool { return s.pkg == pkg && s.name == m[1] && s.variable == m[2] })
		if i < 0 {
			all = append(all, series{pkg: pkg, name: m[1], variable: m[2]})
			i = len(all) - 1
		}
		all[i].points = append(all[i].points, p)
	}
	return all
}

// exponent fits a power law to the points and returns its exponent: 1 is linear,
// 0 is constant. It also returns 0 if fewer than two points can be used.
func exponent(points []point, unit string) float64 {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		if p.units[unit] <= 0 || p.size <= 0 {
			continue
		}
		x, y := math.Log(p.size), math.Log(p.units[unit])
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if n < 2 || n*sxx == sx*sx {
		return 0
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// slopeTable renders the benchmarks as a table with one row per benchmark and
// unit.
func slopeTable(all []series) string {
	head := []string{"package", "benchmark", "by", "unit", "values by size", "exponent", ""}
	var rows [][]string
	for _, s := range all {
		for _, unit := range units(s.points) {
			fit, mark := "", ""
			if len(s.points) >= minPoints {
				e := exponent(s.points, unit)
				fit = fmt.Sprintf("%.2f", e)
				if e > maxLinearExponent {
					mark = "**worse than linear**"
				}
			}
			rows = append(rows, []string{s.pkg, strings.TrimPrefix(s.name, "Benchmark"), s.variable, unit, figures(s.points, unit), fit, mark})
		}
	}
	return table(head, rows)
}

// units returns the sorted units of a series without those of allocations.
func units(points []point) []string {
	var out []string
	for unit := range points[0].units {
		if unit != "allocs/op" && unit != "B/op" {
			out = append(out, unit)
		}
	}
	slices.Sort(out)
	return out
}

func figures(points []point, unit string) string {
	var parts []string
	for _, p := range points {
		parts = append(parts, fmt.Sprintf("%g: %.4g", p.size, p.units[unit]))
	}
	return strings.Join(parts, ", ")
}
