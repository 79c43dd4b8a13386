package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/origin"
)

// The coordinators of the zones keep the origins of streams: each appends the records of its zone's
// instances to the store, many at once, and reads them for those that look for one. Another zone's
// coordinator, and then the instance itself, does it if the own one can't.
//
// The store may come back from an older copy of itself. So each record is also held by two instances:
// the one whose stream it is and the keeper, or another keeper if these are the same.

// Queries between instances.
const (
	// queryRecordOrigins has []origin.Record as parameter and an originsRecorded as result.
	queryRecordOrigins = "origin-record"
	// queryHoldOrigins asks an instance to hold records that another one appends: it has
	// []origin.Record as parameter and an originsRecorded as result.
	queryHoldOrigins = "origin-hold"
	// queryFindOrigins has a findOrigins as parameter and an originsFound as result.
	queryFindOrigins = "origin-find"
	// queryOriginsRestored has a restoreOrigins as parameter and an originsRestored as result.
	queryOriginsRestored = "origin-restored"
)

const (
	// keeperWait is how long a keeper waits for the store before it answers a query. It is less
	// than exchangeTimeout.
	keeperWait = 120 * time.Millisecond
	// basesInterval is the time between two reads of the bases.
	basesInterval = 10 * time.Second
	// chooseInterval is the time between two checks whether a base is to change.
	chooseInterval = time.Second
	// originRetryInterval is the time after which a query is sent again that had no result.
	originRetryInterval = 100 * time.Millisecond
	// maxOriginSearch is how long the origin of a stream is looked for: less than callers wait.
	maxOriginSearch = 1500 * time.Millisecond
	// originRetryAfter is the retry time sent to callers whose stream can't go on now.
	originRetryAfter = 500 * time.Millisecond
)

// originsRecorded answers a query to record origins. The answering instance can find the records.
type originsRecorded struct {
	// Durable is set if the records are in the store.
	Durable bool          `json:"d,omitempty"`
	Bases   []origin.Base `json:"b,omitempty"`
	// Era is the newest era of the log that the answering instance knows.
	Era int64 `json:"e,omitempty"`
}

// findOrigins asks for the records of streams.
type findOrigins struct {
	Streams []origin.Stream `json:"s,omitempty"`
	// KnownOnly is set if the store is not to be read.
	KnownOnly bool `json:"k,omitempty"`
	// Age is how long ago the latest search began. The store is to be read since.
	Age time.Duration `json:"a,omitempty"`
}

// originsFound answers a findOrigins.
type originsFound struct {
	Records []origin.Record `json:"r,omitempty"`
	Bases   []origin.Base   `json:"b,omitempty"`
	// Read is set if the store has been read to its end. ReadBefore is how long before the query
	// arrived that read began, 0 if after.
	Read       bool          `json:"c,omitempty"`
	ReadBefore time.Duration `json:"d,omitempty"`
	// Era is the era of the log that was read.
	Era int64 `json:"e,omitempty"`
	// OnlyBase lists the pools of which no stream has a record of another version than the base.
	OnlyBase []entity.PoolID `json:"o,omitempty"`
}

// originKeeper is an instance that keeps origins.
type originKeeper struct {
	id      entity.InstanceID
	address string
}

// origins records and finds the origins of streams. It is safe for concurrent use.
type origins struct {
	g       *Instance
	log     *originLog
	sends   batcher[*unsent]
	lookups batcher[*lookup]

	// startedAt is when this instance began to know the others.
	startedAt time.Time
	// chooser is used by the goroutine of run only.
	chooser *origin.Chooser

	mu sync.Mutex
	// keepers are the instances to ask, in this order.
	keepers []originKeeper
	// chooses is set if this instance chooses the bases.
	chooses bool
	// members holds the addresses of the other instances, departed when one of them has left lately.
	members  map[entity.InstanceID]string
	departed []time.Time
	// table holds what this instance itself has recorded or was told.
	table *origin.Table
	// basesAsOf is a time, on the clock of bootTime, since which the log was read for the bases in table; 0 for
	// never.
	basesAsOf time.Duration
	// restoring holds the records that are appended again in the log's present era.
	restoring []*unsent
	// recent holds the streams that were lately sent to each endpoint, by incarnation.
	recent map[incarnation][]recentStream
}

// incarnation identifies one start of an endpoint.
type incarnation struct {
	endpoint entity.EndpointID
	start    int64
}

// recentStream is a record of a stream and when its request was sent.
type recentStream struct {
	record origin.Record
	at     time.Time
}

// unsent is a record that is not in the store yet.
type unsent struct {
	origin.Record
	since time.Time
	// corrects is set if the record replaces another one: without it, the stream would go on at the
	// version of that one.
	corrects bool
	// stored is set once the store has the record.
	stored atomic.Bool
	// released is closed once the stream's first event may be sent to the caller.
	released chan struct{}
	once     sync.Once
}

func newUnsent(r origin.Record, since time.Time) *unsent {
	return &unsent{Record: r, since: since, released: make(chan struct{})}
}

func (u *unsent) release() { u.once.Do(func() { close(u.released) }) }

// lookup is a search for the origin of one stream.
type lookup struct {
	stream origin.Stream
	since  time.Time
	// version is the origin if known is set. Both are valid once done is closed.
	version string
	known   bool
	done    chan struct{}
}

func newOrigins(g *Instance) *origins {
	o := &origins{g: g, log: newOriginLog(g), startedAt: time.Now(), table: origin.NewTable(), recent: make(map[incarnation][]recentStream)}
	o.sends = batcher[*unsent]{ctx: g.ctx, run: o.send}
	o.lookups = batcher[*lookup]{ctx: g.ctx, run: o.find}
	return o
}

// setKeepers sets the instances that keep origins, and whether this one chooses the bases.
func (o *origins) setKeepers(keepers []originKeeper, chooses bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keepers, o.chooses = keepers, chooses
}

func (o *origins) present() (keepers []originKeeper, chooses bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keepers, o.chooses
}

// basesReadAt records that the log was read for the bases that are known, by a read that began at a time on the
// clock of bootTime.
func (o *origins) basesReadAt(at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.basesAsOf = max(o.basesAsOf, at)
}

// addBases adds statements about bases that were made or known in an era of the log.
func (o *origins) addBases(bases []origin.Base, era int64) {
	for _, b := range bases {
		era = max(era, b.Era)
	}
	o.observeEra(era)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.SetBases(bases)
}
