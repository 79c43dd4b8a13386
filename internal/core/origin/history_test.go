package origin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	historySeeds  = 200
	historyLength = 6 * time.Minute
	historyStep   = 500 * time.Millisecond
	// historyRefresh is how often an instance reads the statements about bases.
	historyRefresh = 15 * time.Second
)

// history plays one pool: versions whose endpoints come and go, a log that is away at times, and instances of
// which some or all are killed. A stream that is taken up goes on at the version that began it, or nowhere.
type history struct {
	rand      *rand.Rand
	now       time.Duration
	present   map[string]Presence
	instances []*historyInstance
	chooser   *Chooser
	// away is set while nothing reaches the log, which holds what log holds.
	away    bool
	log     *Table
	streams []historyStream
	counts  historyCounts
}

// historyInstance is one instance: what it knows of the log, and the records that it holds.
type historyInstance struct {
	bases  *Table
	asOf   time.Duration
	holds  []Record
	partly bool // it can't reach the log, though others do
}

type historyStream struct {
	request entity.RequestID
	version string
	at      time.Duration
}

// historyCounts counts what makes a history worth playing.
type historyCounts struct{ begun, unlogged, wentOn, refused, killedAll int }

func (c *historyCounts) add(o historyCounts) {
	c.begun += o.begun
	c.unlogged += o.unlogged
	c.wentOn += o.wentOn
	c.refused += o.refused
	c.killedAll += o.killedAll
}

func newHistory(seed uint64) *history {
	h := &history{rand: rand.New(rand.NewPCG(seed, 9)), log: NewTable(), present: map[string]Presence{"v1": {Endpoints: 2}}}
	h.startAll(true)
	return h
}

func (h *history) time() time.Time { return start.Add(h.now) }

// startAll starts all instances, with no memory of before.
func (h *history) startAll(first bool) {
	h.instances = nil
	for range 4 {
		h.instances = append(h.instances, h.start())
	}
	h.chooser = NewChooser(h.time(), first)
}

func (h *history) start() *historyInstance { return &historyInstance{bases: NewTable(), asOf: -1} }

func (h *history) chance(perMinute float64) bool {
	return h.rand.Float64() < perMinute*historyStep.Minutes()
}

func (h *history) reaches(in *historyInstance) bool { return !h.away && !in.partly }

func (h *history) read(in *historyInstance) {
	in.bases.SetBases(h.log.Bases())
	in.asOf = h.now
}

// disturb changes the versions that serve, the log and the instances.
func (h *history) disturb() {
	for _, v := range []string{"v1", "v2", "v3"} {
		switch {
		case !h.chance(1):
		case h.present[v].Endpoints == 0:
			h.present[v] = Presence{Endpoints: 1 + h.rand.IntN(3)}
		default:
			delete(h.present, v)
		}
	}
	if rate := map[bool]float64{false: 3, true: 10}[h.away]; h.chance(rate) {
		h.away = !h.away
	}
	for _, in := range h.instances {
		if rate := map[bool]float64{false: 0.3, true: 6}[in.partly]; h.chance(rate) {
			in.partly = !in.partly
		}
	}
	if h.chance(1) {
		h.counts.killedAll++
		h.startAll(false)
	}
	if h.chance(1) {
		h.instances[1+h.rand.IntN(len(h.instances)-1)] = h.start()
	}
}

// keep has the instances read the log and append what they hold, and the first of them choose the base.
func (h *history) keep() {
	for _, in := range h.instances {
		if !h.reaches(in) {
			continue
		}
		h.log.Add(h.time(), in.holds)
		in.holds = nil
		if in.asOf < 0 || h.now-in.asOf >= historyRefresh {
			h.read(in)
		}
	}
	if !h.reaches(h.instances[0]) {
		return
	}
	current, stated := h.log.Base("p")
	if next, ok := h.chooser.Next(h.time(), "p", h.present, current, stated, Log{}); ok {
		h.log.SetBases([]Base{next})
		h.read(h.instances[0])
	}
}

// begin begins a stream at an instance, if its first event may be sent.
func (h *history) begin() {
	version := []string{"v1", "v2", "v3"}[h.rand.IntN(3)]
	if h.present[version].Endpoints == 0 {
		return
	}
	n := h.rand.IntN(len(h.instances))
	in := h.instances[n]
	s := historyStream{request: entity.RequestID(fmt.Sprint(h.counts.begun)), version: version, at: h.now}
	record := Record{Stream: Stream{Pool: "p", Request: s.request}, Version: version}
	if in.bases.NeedsRecord("p", version) {
		fresh := in.asOf >= 0 && h.now-in.asOf <= StatementLifetime
		switch {
		case h.reaches(in):
			h.log.Add(h.time(), []Record{record})
		case in.bases.NeedsLog("p", version, fresh):
			return
		default:
			h.counts.unlogged++
			other := h.instances[(n+1)%len(h.instances)]
			in.holds, other.holds = append(in.holds, record), append(other.holds, record)
		}
	}
	h.counts.begun++
	h.streams = append(h.streams, s)
}

// takeUp takes a stream up. It returns an error if the stream goes on at another version.
func (h *history) takeUp() error {
	for len(h.streams) > 0 && h.now-h.streams[0].at > Retention {
		h.streams = h.streams[1:]
	}
	if len(h.streams) == 0 || h.away {
		return nil
	}
	s := h.streams[h.rand.IntN(len(h.streams))]
	known := NewTable()
	known.SetBases(h.log.Bases())
	known.Add(h.time(), h.log.Records())
	for _, in := range h.instances {
		known.Add(h.time(), in.holds)
	}
	version, ok := known.Confirmed("p")
	if r, found := known.Find(Stream{Pool: "p", Request: s.request}); found {
		version, ok = r.Version, true
	}
	if !ok {
		h.counts.refused++
		return nil
	}
	if version != s.version {
		b, _ := known.Base("p")
		return fmt.Errorf("after %v: the stream that %s began at %v goes on at %s, base %+v", h.now, s.version, s.at, version, b)
	}
	h.counts.wentOn++
	return nil
}

func (h *history) play() error {
	for ; h.now < historyLength; h.now += historyStep {
		h.disturb()
		h.keep()
		h.begin()
		if err := h.takeUp(); err != nil {
			return err
		}
		h.log.Expire(h.time())
	}
	return nil
}

// All instances are killed again and again, while the log is away and versions come and go: no stream goes on at
// another version than the one that began it (ORDER).
func TestHistoriesJoinNoVersions(t *testing.T) {
	var all historyCounts
	for seed := range uint64(historySeeds) {
		h := newHistory(seed)
		if err := h.play(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		all.add(h.counts)
	}
	t.Logf("%+v", all)
	if all.unlogged == 0 || all.wentOn == 0 || all.killedAll == 0 || all.refused > all.wentOn {
		t.Errorf("the histories show too little: %+v", all)
	}
}
