package concurrency

import (
	"math"
	"time"
)

const (
	// MaxRatio bounds by how much a stated slowdown changes an expected time, in both directions.
	MaxRatio = 4
	// statedHalfLife is the half-life of the weight of a stated slowdown. Noisy neighbours
	// change it many times a second.
	statedHalfLife = 300 * time.Millisecond
	// statedMeanWeight is the weight of a stated slowdown in the long-term mean.
	statedMeanWeight = 0.02
	// errorWeight is the weight of a run in the mean errors of the two predictions.
	errorWeight = 0.05
	// A stated slowdown is used while the error with it is below usefulRatio times the error without it,
	// and until it is above that error.
	usefulRatio = 0.9
	// minJudged is the number of runs from which the errors are compared.
	minJudged = 8
)

// Slowdown keeps what an endpoint states about its slowdown, and judges by the times of its runs
// whether that is worth anything.
type Slowdown struct {
	// stated is the latest figure relative to mean, mean the long-term mean of the figures.
	stated, mean float64
	statedAt     time.Time
	// integral is that of the stated figure over time, in seconds, up to integralAt.
	integral   float64
	integralAt time.Time
	with       prediction
	without    prediction
	useful     bool
}

// prediction is a mean of the logarithm of the time per size, with its mean squared error.
type prediction struct {
	mean, squaredError float64
	samples            int
}

func (p *prediction) add(log float64) {
	p.samples++
	if p.samples == 1 {
		p.mean = log
		return
	}
	d := log - p.mean
	w := max(errorWeight, 1/float64(p.samples))
	p.squaredError += w * (d*d - p.squaredError)
	p.mean += w * d
}

// State records a stated figure. Figures of 0 or less say nothing.
func (s *Slowdown) State(now time.Time, figure float64) {
	if !(figure > 0) || math.IsInf(figure, 1) { // also for NaN
		return
	}
	s.advance(now)
	if s.mean == 0 {
		s.mean, s.integralAt = figure, now
	}
	s.mean += statedMeanWeight * (figure - s.mean)
	s.stated, s.statedAt = bounded(figure/s.mean), now
}

// advance extends the integral to now.
func (s *Slowdown) advance(now time.Time) {
	if s.mean > 0 {
		s.integral += s.stated * now.Sub(s.integralAt).Seconds()
		s.integralAt = now
	}
}

// States reports whether the endpoint has ever stated a figure.
func (s *Slowdown) States() bool { return s.mean > 0 }

// Useful reports whether the figures predict the endpoint's times.
func (s *Slowdown) Useful() bool { return s.useful }

// Stated returns the latest figure relative to the mean, 0 if there was none.
func (s *Slowdown) Stated() float64 { return s.stated }

// Expected returns the slowdown that is expected now, relative to the endpoint's mean: the stated
// one, which decays to 1 with age. It is 1 while the figures aren't useful.
func (s *Slowdown) Expected(now time.Time) float64 {
	if !s.useful {
		return 1
	}
	weight := math.Exp2(-float64(max(0, now.Sub(s.statedAt))) / float64(statedHalfLife))
	return 1 + (s.stated-1)*weight
}

// Mark is a position in the integral of the stated figures.
type Mark struct {
	at       time.Time
	integral float64
}

// Mark returns the present position.
func (s *Slowdown) Mark(now time.Time) Mark {
	s.advance(now)
	return Mark{at: now, integral: s.integral}
}

// Since returns the mean stated figure since a mark, relative to the long-term mean.
func (s *Slowdown) Since(now time.Time, m Mark) float64 {
	s.advance(now)
	seconds := now.Sub(m.at).Seconds()
	if s.mean == 0 || seconds <= 0 {
		return 1
	}
	if s.integral == m.integral {
		return 1
	}
	return bounded((s.integral - m.integral) / seconds)
}

// Learn judges the figures by a run: its time per size, and the mean stated figure in its time.
func (s *Slowdown) Learn(perSize, stated float64) {
	if s.mean == 0 || perSize <= 0 || stated <= 0 {
		return
	}
	log := math.Log(perSize)
	s.without.add(log)
	s.with.add(log - math.Log(stated))
	if s.with.samples < minJudged {
		return
	}
	limit := s.without.squaredError
	if !s.useful {
		limit *= usefulRatio
	}
	s.useful = s.with.squaredError < limit
}

// Normal returns a time without the part that the stated figures explain.
func (s *Slowdown) Normal(took time.Duration, stated float64) time.Duration {
	if !s.useful || stated <= 0 {
		return took
	}
	return time.Duration(float64(took) / stated)
}

func bounded(ratio float64) float64 { return min(max(ratio, 1.0/MaxRatio), MaxRatio) }
