package rollout

import "time"

// Exposure bounds what a bad version may get of the requests of its pool during an order, from all
// instances together.
type Exposure struct {
	// Share is the share of the requests, and Slack a number of further ones.
	Share, Slack float64
	// RollBackWithin is how long after the version has shown itself bad it may still get requests.
	RollBackWithin time.Duration
}

// InForce reports whether roll-outs are used at all.
func (e *Exposure) InForce() bool { return e.RollBackWithin > 0 }

const (
	// firstPart is the part of the allowed share that the target gets at first, plannedPart what is
	// planned of what is allowed until all goes there: the rest covers what is sent until a
	// roll-back has reached all.
	firstPart   = 0.5
	plannedPart = 0.7
	// slackPart is the part of the slack that is planned with.
	slackPart = 0.4
	// firstSteps is the part of the time until all goes to the target in which it gets little.
	firstSteps = 0.6
	// maxStepShare is the largest share below all.
	maxStepShare = 0.5
	// lowerStep and upperStep are the two middle steps, in parts of their mean.
	lowerStep, upperStep = 0.6, 1.4
)

// Bounds of the time that requests at the old version are given to end, as parts of the order's
// time.
const (
	minEmptying     = 0.1
	maxEmptying     = 1.0 / 3
	emptyingMargin  = settle + time.Second // the decision, the status, and that an order is heard late
	emptyingStretch = 1.2
)

// plan is the course of the share over the time of an order, as far as the evidence allows.
type plan struct {
	duration time.Duration
	exposure Exposure
	// rate is the number of requests of the pool per second, 0 if unknown.
	rate float64
	// longest is the longest time that an answer of the old version took.
	longest time.Duration
}

// allAt returns when all requests go to the target.
func (p *plan) allAt() time.Duration {
	d := float64(p.duration)
	emptying := emptyingStretch*float64(p.longest) + float64(emptyingMargin)
	return time.Duration(d - min(max(emptying, minEmptying*d), maxEmptying*d))
}

// least returns the share that is kept until the target has shown itself good.
func (p *plan) least() float64 { return firstPart * p.exposure.Share }

// share returns the planned share after a time of the order.
func (p *plan) share(elapsed time.Duration) float64 {
	all := p.allAt()
	if elapsed >= all {
		return 1
	}
	extra := 0.0
	if p.rate > 0 {
		extra = slackPart * p.exposure.Slack / (p.rate * all.Seconds())
	}
	first := p.least()
	middleAt := time.Duration(firstSteps * float64(all))
	if elapsed < middleAt {
		return min(maxStepShare, first+extra)
	}
	left := plannedPart*p.exposure.Share*all.Seconds() - first*middleAt.Seconds()
	mean := max(first, left/(all-middleAt).Seconds())
	if elapsed < middleAt+(all-middleAt)/2 {
		return min(maxStepShare, lowerStep*mean+extra)
	}
	return min(maxStepShare, upperStep*mean+extra)
}
