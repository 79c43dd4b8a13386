package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/origin"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// The coordinators of the zones keep the origins of streams: each appends the records of its zone's
// instances to the store, many at once, and reads them for those that look for one. Another zone's
// coordinator, and then the instance itself, does it if the own one can't.

// Queries between instances.
const (
	// queryRecordOrigins has []origin.Record as parameter and []origin.Base as result.
	queryRecordOrigins = "origin-record"
	// queryFindOrigins has a findOrigins as parameter and an originsFound as result.
	queryFindOrigins = "origin-find"
)

const (
	// basesInterval is the time between two reads of the bases.
	basesInterval = 10 * time.Second
	// chooseInterval is the time between two checks whether a base is to change.
	chooseInterval = time.Second
	// originTimeout bounds one attempt to record or find origins at one instance.
	originTimeout = 400 * time.Millisecond
	// recordRetryInterval is the time after which records are tried again that no instance could
	// append.
	recordRetryInterval = 200 * time.Millisecond
	// originRetryAfter is the retry time sent to callers whose stream can't go on now.
	originRetryAfter = 500 * time.Millisecond
)

// findOrigins asks for the records of streams.
type findOrigins struct {
	Streams []origin.Stream `json:"s,omitempty"`
	// KnownOnly is set if the store is not to be read.
	KnownOnly bool `json:"k,omitempty"`
}

// originsFound answers a findOrigins.
type originsFound struct {
	Records []origin.Record `json:"r,omitempty"`
	Bases   []origin.Base   `json:"b,omitempty"`
	// Read is set if the store has been read since the query arrived.
	Read bool `json:"c,omitempty"`
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
	records batcher[origin.Record]
	lookups batcher[*lookup]

	mu sync.Mutex
	// keepers are the instances to ask, in this order.
	keepers []originKeeper
	// chooses is set if this instance chooses the bases.
	chooses bool
	// table holds what this instance itself has recorded or was told.
	table *origin.Table
}

// lookup is a search for the origin of one stream.
type lookup struct {
	stream origin.Stream
	// version is the origin if known is set.
	version string
	known   bool
}

func newOrigins(g *Instance) *origins {
	o := &origins{g: g, log: newOriginLog(g), table: origin.NewTable()}
	o.records = batcher[origin.Record]{ctx: g.ctx, run: o.recordBatch}
	o.lookups = batcher[*lookup]{ctx: g.ctx, run: o.findBatch}
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

func (o *origins) addBases(bases []origin.Base) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.SetBases(bases)
}

// RecordOrigin implements edge.Scheduler.
func (g *Instance) RecordOrigin(r edge.SlotRequest, e *catalog.Endpoint, dispatch int) <-chan struct{} {
	record := origin.Record{Stream: origin.Stream{Pool: r.Pool, Request: r.ID}, Version: e.Version, Dispatch: dispatch}
	o := g.origins
	o.mu.Lock()
	before, dispatched := o.table.Find(record.Stream)
	needed := o.table.NeedsRecord(r.Pool, e.Version) || dispatched && before.Version != e.Version
	o.table.Add(time.Now(), []origin.Record{record})
	o.mu.Unlock()
	if !needed {
		return nil
	}
	return o.records.submit(record).done
}

// recordBatch has records appended, by the first keeper that can or by this instance. It does not
// give up before they are of no use.
func (o *origins) recordBatch(ctx context.Context, records []origin.Record) error {
	for end := time.Now().Add(origin.Retention); ctx.Err() == nil && time.Now().Before(end); pause(ctx, recordRetryInterval) {
		keepers, _ := o.present()
		for _, k := range slices.Concat(keepers, []originKeeper{{id: o.g.self.ID}}) {
			bases, err := o.recordAt(ctx, k, records)
			if err == nil {
				o.addBases(bases)
				return nil
			}
		}
		telemetry.Log(o.g.log, telemetry.EventOriginsNotRecorded, "records", len(records))
	}
	return ctx.Err()
}

// recordAt has records appended by one instance, and returns the bases that it knows.
func (o *origins) recordAt(ctx context.Context, k originKeeper, records []origin.Record) (bases []origin.Base, err error) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	if k.id == o.g.self.ID {
		return o.answerRecord(ctx, records)
	}
	err = o.g.transport.Call(ctx, k.id, k.address, queryRecordOrigins, records, &bases)
	return bases, err
}

// answerRecord appends records for another instance.
func (o *origins) answerRecord(ctx context.Context, records []origin.Record) ([]origin.Base, error) {
	if err := o.log.record(ctx, records); err != nil {
		return nil, err
	}
	_, bases := o.log.find(nil)
	return bases, nil
}

// OriginOf implements edge.Scheduler.
func (g *Instance) OriginOf(ctx context.Context, pool entity.PoolID, stream entity.RequestID) (string, *verdict.Error) {
	o := g.origins
	l := &lookup{stream: origin.Stream{Pool: pool, Request: stream}}
	o.mu.Lock()
	own, known := o.table.Find(l.stream)
	o.mu.Unlock()
	if known {
		l.version, l.known = own.Version, true
	} else {
		// The error is ignored: without an answer the origin stays unknown.
		_ = o.lookups.submit(l).wait(ctx)
	}
	if ctx.Err() != nil || !l.known || l.version == "" {
		return "", &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonOriginUnknown, RetryAfter: originRetryAfter,
			Message: "it is not known which version began the stream; begin it anew if this goes on"}
	}
	return l.version, nil
}

// findBatch looks for the origins of several streams at once.
func (o *origins) findBatch(ctx context.Context, lookups []*lookup) error {
	var streams []origin.Stream
	for _, l := range lookups {
		streams = append(streams, l.stream)
	}
	keepers, _ := o.present()
	var found originsFound
	for _, k := range slices.Concat(keepers, []originKeeper{{id: o.g.self.ID}}) {
		answer, err := o.findAt(ctx, k, findOrigins{Streams: streams})
		found.Records = append(found.Records, answer.Records...)
		if err == nil && answer.Read {
			found.Bases, found.OnlyBase, found.Read = answer.Bases, answer.OnlyBase, true
			break
		}
	}
	found.Records = append(found.Records, o.findElsewhere(ctx, keepers, streams, found.Records)...)
	o.addBases(found.Bases)
	resolve(lookups, &found)
	return nil
}

// findElsewhere asks the keepers for what they know of the streams that were not found: the store
// may have been away when they were recorded.
func (o *origins) findElsewhere(ctx context.Context, keepers []originKeeper, streams []origin.Stream, found []origin.Record) []origin.Record {
	known := origin.NewTable()
	known.Add(time.Time{}, found)
	var missing []origin.Stream
	for _, s := range streams {
		if _, ok := known.Find(s); !ok {
			missing = append(missing, s)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	var mu sync.Mutex
	var out []origin.Record
	var all sync.WaitGroup
	for _, k := range keepers {
		all.Go(func() {
			answer, err := o.findAt(ctx, k, findOrigins{Streams: missing, KnownOnly: true})
			if err != nil {
				return // what it knows is not known
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, answer.Records...)
		})
	}
	all.Wait()
	return out
}

// findAt asks one instance.
func (o *origins) findAt(ctx context.Context, k originKeeper, query findOrigins) (found originsFound, err error) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	if k.id == o.g.self.ID {
		return o.answerFind(ctx, query)
	}
	err = o.g.transport.Call(ctx, k.id, k.address, queryFindOrigins, query, &found)
	return found, err
}

// answerFind answers a query for origins. What is not known is looked for in the store.
func (o *origins) answerFind(ctx context.Context, query findOrigins) (found originsFound, err error) {
	if !query.KnownOnly {
		needed := len(query.Streams) > 0 || !o.log.readWithin(basesInterval)
		found.Read = !needed || o.log.read(ctx) == nil
	}
	found.Records, found.Bases = o.log.find(query.Streams)
	found.OnlyBase = o.log.onlyBase()
	return found, nil
}

// resolve sets the results of lookups. Without a record, the base began a stream.
func resolve(lookups []*lookup, found *originsFound) {
	known := origin.NewTable()
	known.Add(time.Time{}, found.Records)
	known.SetBases(found.Bases)
	for _, l := range lookups {
		if r, ok := known.Find(l.stream); ok && l.stream.Request != "" {
			l.version, l.known = r.Version, true
			continue
		}
		if !found.Read || l.stream.Request == "" && !found.hasOnlyBase(l.stream.Pool) {
			continue
		}
		if b, ok := known.Base(l.stream.Pool); ok && b.Version != "" {
			l.version, l.known = b.Version, true
		}
	}
}

// hasOnlyBase reports whether only the base can have begun a stream of a pool.
func (f *originsFound) hasOnlyBase(pool entity.PoolID) bool {
	return slices.Contains(f.OnlyBase, pool)
}

// IsCurrent implements edge.Scheduler.
func (g *Instance) IsCurrent(e *catalog.Endpoint) bool {
	now, ok := g.state.endpoints.Load().Get(e.ID)
	return !ok || now.Incarnation == e.Incarnation && now.Version == e.Version
}

// servesVersion reports whether an endpoint is of a software version, or any will do.
func servesVersion(e *catalog.Endpoint, version string) bool {
	return version == "" || e.Version == version
}

// ofVersion returns the endpoints of a software version, all if it is empty.
func ofVersion(endpoints []*catalog.Endpoint, version string) []*catalog.Endpoint {
	if version == "" {
		return endpoints
	}
	var out []*catalog.Endpoint
	for _, e := range endpoints {
		if e.Version == version {
			out = append(out, e)
		}
	}
	return out
}

// versionGone returns the error sent to a caller whose stream was begun by a version that no
// endpoint has.
func versionGone(r edge.SlotRequest) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonVersionGone, RetryAfter: originRetryAfter,
		Message: "no endpoint has version " + r.Version + ", which began the stream; begin it anew"}
}
