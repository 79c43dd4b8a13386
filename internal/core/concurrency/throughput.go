package concurrency

import (
	"math"
	"time"
)

// throughput is a decaying mean of the work done per time at some number of runs.
type throughput struct {
	work, took float64
	samples    int
	// mean and variance are those of the single runs.
	mean, variance float64
}

// throughputMemory is the share of a throughput that remains when a run is added.
const throughputMemory = 0.9

// add adds a run of a size that took a time, beside as many runs as running, itself included.
func (t *throughput) add(running float64, size, took time.Duration) {
	t.work = throughputMemory*t.work + running*size.Seconds()
	t.took = throughputMemory*t.took + took.Seconds()
	t.samples++
	w := max(1-throughputMemory, 1/float64(t.samples))
	d := running*size.Seconds()/took.Seconds() - t.mean
	t.mean += w * d
	t.variance = (1 - w) * (t.variance + w*d*d)
}

// relativeError returns the standard error of the value in relation to it.
func (t *throughput) relativeError() float64 {
	if t.mean <= 0 || t.samples == 0 {
		return 0
	}
	n := min(float64(t.samples), (1+throughputMemory)/(1-throughputMemory))
	return math.Sqrt(t.variance/n) / t.mean
}

// value returns the work per time, 0 if it is unknown.
func (t *throughput) value() float64 {
	if t.took <= 0 {
		return 0
	}
	return t.work / t.took
}

// table holds the throughput by number of runs. Numbers beyond its length share its last row.
type table []throughput

// maxRows bounds the table of an endpoint with many slots.
const maxRows = 64

func newTable(slots int) table { return make(table, min(max(slots, 1), maxRows)) }

// index returns the row of a number of runs.
func (t table) index(running float64, slots int) int { return rowOf(running, slots, len(t)) }

// rowOf returns the row of a number of runs in a table of an endpoint's slots.
func rowOf(running float64, slots, rows int) int {
	i := int(running+0.5) - 1
	if slots > rows {
		i = i * rows / slots
	}
	return min(max(i, 0), rows-1)
}

// Signs that an endpoint slows down before it is full.
const (
	// minSignSamples is the number of runs needed in a row.
	minSignSamples = 4
	// collapse is the ratio between the throughput of the full endpoint and that at half its slots
	// or fewer, from which the difference is a sign. An endpoint that has little to do shows
	// the same throughput at each number: that of its arrivals.
	collapse = 0.8
	// noGain is that ratio at an endpoint whose times are known without its slowdown.
	noGain = 1.1
	// slower is by how much the times must be longer as well.
	slower = 1.5
	// scalesWell is the share of the additional runs by which the throughput of a full endpoint must be
	// above that at half its slots or fewer to show that it takes its slots well.
	scalesWell = 0.5
)

// sign returns the number of runs at which the throughput was highest, if the endpoint showed
// less with more than half of its slots in use than a share of that. It returns 0 if there is no sign.
func (t table) sign(slots int, share float64) int {
	full := t.above(0.5, slots)
	best, at := t.bestLow(slots)
	if at == 0 || full.samples < minSignSamples {
		return 0
	}
	if full.value() > share*best || float64(slots)/full.value() < slower*float64(at)/best {
		return 0
	}
	return at
}

// scales reports whether the endpoint showed clearly more throughput when it was almost full than at half its
// slots or fewer.
func (t table) scales(slots int) bool {
	full := t.above(0.75, slots)
	best, at := t.bestLow(slots)
	if at == 0 || full.samples < minSignSamples {
		return false
	}
	return full.value() >= best*(1+scalesWell*(float64(slots)/float64(at)-1))
}

// above returns the throughput with more than a share of the slots in use.
func (t table) above(share float64, slots int) throughput {
	var full throughput
	for i := t.index(math.Floor(share*float64(slots))+1, slots); i < len(t); i++ {
		full.work += t[i].work
		full.took += t[i].took
		full.samples += t[i].samples
	}
	return full
}

// bestLow returns the highest throughput with half of the slots in use or fewer, and the number of runs
// there, 0 if it is unknown.
func (t table) bestLow(slots int) (best float64, at int) {
	if slots < 2 {
		return 0, 0
	}
	for i := 0; i <= t.index(0.5*float64(slots), slots); i++ {
		if v := t[i].value(); t[i].samples >= minSignSamples && v > best {
			best, at = v, (i+1)*max(slots, len(t))/len(t)
		}
	}
	return best, at
}
