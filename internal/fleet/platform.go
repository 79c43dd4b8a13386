package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/standin/platformsvc"
)

const (
	// logTimeout is how long an exchange with the log may take.
	logTimeout  = 2 * time.Second
	minLogDelay = time.Millisecond
	maxLogDelay = 5 * time.Millisecond
	// readPoll is how often a waiting read checks for new records.
	readPoll = 100 * time.Millisecond
	// readRecords is the number of records in one response at most: readers must not take a response for all.
	readRecords = 3
)

// platformFake is the log service and the instance list, with the faults in force.
type platformFake struct {
	f     *Fleet
	store *platformsvc.Service
	// refusing, unresponsive and slow count the faults of each kind in force; slow
	// delays exchanges.
	refusing, unresponsive, slow int
	// answerLoss is the fraction of appends whose answer is lost.
	answerLoss float64
	// listFreezes counts the faults in force that make the list stale.
	listFreezes int
	frozenList  []entity.Instance
}

func newPlatform(f *Fleet) *platformFake {
	faults := platformsvc.DefaultFaults()
	store := platformsvc.New(platformsvc.Options{Now: func() time.Time { return f.now }, Faults: &faults})
	return &platformFake{f: f, store: store}
}

func (p *platformFake) delay() time.Duration {
	if p.slow > 0 {
		return p.f.between(100*time.Millisecond, 800*time.Millisecond)
	}
	return p.f.between(minLogDelay, maxLogDelay)
}

// exchange simulates a call to the log. call runs at the log. done receives nil, or
// ErrNotAppended if the log refuses, or ErrUnknownOutcome after logTimeout.
func (p *platformFake) exchange(from *instance, call func(), done func(error)) {
	answered := false
	finish := func(err error) {
		if !answered {
			answered = true
			from.do(func() { done(err) })
		}
	}
	p.f.after(logTimeout, func() { finish(platform.ErrUnknownOutcome) })
	p.f.after(p.delay(), func() {
		switch {
		case p.unresponsive > 0 || !p.f.net.reaches(from.zone, platformZone):
			return
		case p.refusing > 0:
			finish(platform.ErrNotAppended)
			return
		}
		call()
		p.f.after(p.delay(), func() {
			if p.f.net.reaches(from.zone, platformZone) {
				finish(nil)
			}
		})
	})
}

// append appends a record on behalf of an instance, without retries.
func (p *platformFake) append(from *instance, s platform.Stream, data []byte, done func(platform.Offset, error)) {
	var off platform.Offset
	var err error
	p.exchange(from, func() {
		off, err = p.store.Append(context.Background(), s, data)
		if p.f.chance(p.answerLoss) {
			err = platform.ErrUnknownOutcome
		}
	}, func(failed error) {
		if failed == nil {
			failed = err
		}
		done(off, failed)
	})
}

// read reads records on behalf of an instance. If there are none, it waits for up to
// the given time.
func (p *platformFake) read(from *instance, s platform.Stream, at platform.Offset, limit int, wait time.Duration, done func(platform.ReadResult, error)) {
	var res platform.ReadResult
	var err error
	p.exchange(from, func() {
		res, err = p.store.Read(context.Background(), s, at, min(limit, readRecords), 0)
	}, func(failed error) {
		switch {
		case failed != nil:
			done(platform.ReadResult{}, platform.ErrUnavailable)
		case err == nil && len(res.Records) == 0 && wait > readPoll:
			p.f.after(readPoll, func() { p.read(from, s, at, limit, wait-readPoll, done) })
		case errors.Is(err, platform.ErrTruncated):
			done(platform.ReadResult{First: res.First, Next: res.Next}, nil)
		default:
			done(res, err)
		}
	})
}

// list returns the instances on the platform list, which is stale during a freeze.
func (p *platformFake) list() []entity.Instance {
	if p.listFreezes > 0 {
		return p.frozenList
	}
	list, err := p.store.List(context.Background())
	if err != nil {
		panic(err) // the store itself never fails
	}
	return list
}

// freezeList keeps the list as it is now, until listFreezes is lowered again.
func (p *platformFake) freezeList() {
	p.frozenList = p.list()
	p.listFreezes++
}
