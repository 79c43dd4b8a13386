package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Classes of times to the first byte: class c holds the times up to firstClass x classStep^c, the
// last class all above.
const (
	timeClasses = 28
	firstClass  = time.Millisecond
	classStep   = 1.5
)

// classOf returns the class of a time.
func classOf(d time.Duration) int {
	if d <= firstClass {
		return 0
	}
	c := math.Ceil(math.Log(float64(d)/float64(firstClass)) / math.Log(classStep))
	return min(timeClasses-1, int(c))
}

// Answer is the result of one dispatch.
type Answer struct {
	Pool     entity.PoolID
	Route    string
	Endpoint entity.EndpointID
	Version  string
	// Failed is set if the endpoint did not answer correctly. FirstByte is the time to the first byte
	// of the response, or for which it was awaited in vain.
	Failed    bool
	FirstByte time.Duration
	// Total is the time to the end of the response.
	Total time.Duration
}

// Count is the number of answers with the same route, version and endpoint.
type Count struct {
	Pool  entity.PoolID `json:"p"`
	Route string        `json:"r"`
	// Endpoint is the endpoint of the target, empty for answers of other versions.
	Endpoint entity.EndpointID `json:"e,omitempty"`
	Failed   int               `json:"f,omitempty"`
	// Times holds pairs of a class of times and the number of answers in it.
	Times [][2]int `json:"h,omitempty"`
}

// Traffic is the number of requests of a pool.
type Traffic struct {
	Pool entity.PoolID `json:"p"`
	// Requests counts first dispatches, Exposed all dispatches to the target.
	Requests int `json:"n,omitempty"`
	Exposed  int `json:"e,omitempty"`
	// Running is the number of requests that run at other versions now.
	Running int `json:"u,omitempty"`
	// Longest is the longest time that an answer of another version took.
	Longest time.Duration `json:"l,omitempty"`
}

// Message is what instances send each other about roll-outs.
type Message struct {
	Words   []Word    `json:"w,omitempty"`
	Counts  []Count   `json:"c,omitempty"`
	Traffic []Traffic `json:"t,omitempty"`
}

// OrNil returns the message, nil if it is empty.
func (m *Message) OrNil() *Message {
	if len(m.Words) == 0 && len(m.Counts) == 0 && len(m.Traffic) == 0 {
		return nil
	}
	return m
}

// runningExpiry is how long what an instance said about its running requests counts.
const runningExpiry = 1500 * time.Millisecond

// countKey identifies a Count.
type countKey struct {
	pool     entity.PoolID
	route    string
	endpoint entity.EndpointID
}

func (k countKey) compare(l countKey) int {
	return cmp.Or(cmp.Compare(k.pool, l.pool), cmp.Compare(k.route, l.route), cmp.Compare(k.endpoint, l.endpoint))
}

// tally is the number of answers by result.
type tally struct {
	failed int
	times  [timeClasses]int
}

// Tally counts what an instance has seen, and what others have told it, until it is passed on.
type Tally struct {
	counts  map[countKey]*tally
	traffic map[entity.PoolID]*Traffic
	// running holds how many requests each instance runs at other versions.
	running map[runningKey]gauge
}

type runningKey struct {
	pool entity.PoolID
	from entity.InstanceID
}

// gauge is a number and the time of its reading.
type gauge struct {
	n  int
	at time.Duration
}

// NewTally returns an empty Tally.
func NewTally() *Tally {
	return &Tally{counts: make(map[countKey]*tally), traffic: make(map[entity.PoolID]*Traffic), running: make(map[runningKey]gauge)}
}

// Requested counts a dispatch, to the target or not. first is set for the first one of a request.
func (t *Tally) Requested(pool entity.PoolID, first, target bool) {
	row := t.trafficOf(pool)
	if first {
		row.Requests++
	}
	if target {
		row.Exposed++
	}
}

// Answered counts an answer; target says whether the endpoint is of the target.
func (t *Tally) Answered(a Answer, target bool) {
	k := countKey{pool: a.Pool, route: a.Route}
	if target {
		k.endpoint = a.Endpoint
	} else if row := t.trafficOf(a.Pool); a.Total > row.Longest {
		row.Longest = a.Total
	}
	c := t.count(k)
	if a.Failed {
		c.failed++
		return
	}
	c.times[classOf(a.FirstByte)]++
}

// SetRunning records how many requests an instance runs at other versions than the target.
func (t *Tally) SetRunning(boot time.Duration, pool entity.PoolID, from entity.InstanceID, n int) {
	t.running[runningKey{pool, from}] = gauge{n: n, at: boot}
}

// Add adds what another instance has counted.
func (t *Tally) Add(boot time.Duration, from entity.InstanceID, m *Message) {
	for i := range m.Counts {
		in := &m.Counts[i]
		c := t.count(countKey{in.Pool, in.Route, in.Endpoint})
		c.failed += max(0, in.Failed)
		for _, pair := range in.Times {
			if class, n := pair[0], pair[1]; class >= 0 && class < timeClasses {
				c.times[class] += max(0, n)
			}
		}
	}
	for _, in := range m.Traffic {
		row := t.trafficOf(in.Pool)
		row.Requests += max(0, in.Requests)
		row.Exposed += max(0, in.Exposed)
		row.Longest = max(row.Longest, in.Longest)
		t.SetRunning(boot, in.Pool, from, in.Running)
	}
}

// Drain returns what was counted since the last call, and the requests that run now.
func (t *Tally) Drain(boot time.Duration) (counts []Count, traffic []Traffic) {
	for _, k := range slices.SortedFunc(maps.Keys(t.counts), countKey.compare) {
		c := t.counts[k]
		counts = append(counts, Count{Pool: k.pool, Route: k.route, Endpoint: k.endpoint, Failed: c.failed, Times: c.pairs()})
	}
	for k, g := range t.running {
		if boot-g.at > runningExpiry {
			delete(t.running, k)
			continue
		}
		t.trafficOf(k.pool).Running += g.n
	}
	for _, pool := range slices.Sorted(maps.Keys(t.traffic)) {
		traffic = append(traffic, *t.traffic[pool])
	}
	clear(t.counts)
	clear(t.traffic)
	return counts, traffic
}

// pairs returns the classes with answers.
func (c *tally) pairs() (out [][2]int) {
	for class, n := range c.times {
		if n > 0 {
			out = append(out, [2]int{class, n})
		}
	}
	return out
}

func (t *Tally) count(k countKey) *tally {
	c := t.counts[k]
	if c == nil {
		c = &tally{}
		t.counts[k] = c
	}
	return c
}

func (t *Tally) trafficOf(pool entity.PoolID) *Traffic {
	row := t.traffic[pool]
	if row == nil {
		row = &Traffic{Pool: pool}
		t.traffic[pool] = row
	}
	return row
}
