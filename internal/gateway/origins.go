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
	// queryRecordOrigins has []origin.Record as parameter and an originsRecorded as result.
	queryRecordOrigins = "origin-record"
	// queryFindOrigins has a findOrigins as parameter and an originsFound as result.
	queryFindOrigins = "origin-find"
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

	mu sync.Mutex
	// keepers are the instances to ask, in this order.
	keepers []originKeeper
	// chooses is set if this instance chooses the bases.
	chooses bool
	// table holds what this instance itself has recorded or was told.
	table *origin.Table
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
	// released is closed once the stream's first event may be sent to the caller.
	released chan struct{}
	once     sync.Once
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
	o := &origins{g: g, log: newOriginLog(g), table: origin.NewTable(), recent: make(map[incarnation][]recentStream)}
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

func (o *origins) addBases(bases []origin.Base) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.SetBases(bases)
}

// RecordOrigin implements edge.Scheduler.
func (g *Instance) RecordOrigin(r edge.SlotRequest, e *catalog.Endpoint, dispatch int) <-chan struct{} {
	record := origin.Record{Stream: origin.Stream{Pool: r.Pool, Request: r.ID}, Version: e.Version, Dispatch: dispatch}
	now := time.Now()
	o := g.origins
	o.mu.Lock()
	before, dispatched := o.table.Find(record.Stream)
	needed := o.table.NeedsRecord(r.Pool, e.Version) || dispatched && before.Version != e.Version
	o.table.Add(now, []origin.Record{record})
	at := incarnation{e.ID, e.Incarnation}
	o.recent[at] = append(dropOld(now, o.recent[at]), recentStream{record, now})
	o.mu.Unlock()
	if !needed {
		return nil
	}
	u := &unsent{Record: record, since: now, released: make(chan struct{})}
	o.sends.submit(u)
	return u.released
}

// restartNotice is within what time a restart of an endpoint is known to all instances.
const restartNotice = 4 * time.Second

// dropOld returns the streams that were sent within restartNotice.
func dropOld(now time.Time, streams []recentStream) []recentStream {
	return slices.DeleteFunc(streams, func(s recentStream) bool { return now.Sub(s.at) > restartNotice })
}

// endpointRestarted corrects the records of the streams that were lately sent to an incarnation of an
// endpoint which is known now to have been followed by one of another version. Any of them may have
// been begun by that one.
func (o *origins) endpointRestarted(now time.Time, old incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range dropOld(now, o.recent[old]) {
		r := s.record
		r.Version, r.Dispatch = "", r.Dispatch+uncertainDispatch
		o.table.Add(now, []origin.Record{r})
		o.sends.submit(&unsent{Record: r, since: now, released: make(chan struct{})})
	}
	delete(o.recent, old)
}

// uncertainDispatch is added to the dispatch of a record that is taken back: it is more than a
// request has.
const uncertainDispatch = 1 << 16

// send has records appended to the store. Those that the store does not take at once are told to the
// keepers of two zones, which find them until they are in the store, and sent again.
func (o *origins) send(ctx context.Context, items []*unsent) error {
	records := make([]origin.Record, 0, len(items))
	for _, u := range items {
		records = append(records, u.Record)
	}
	if durable, told := o.record(ctx, records); durable || told {
		for _, u := range items {
			u.release()
		}
		if durable {
			return nil
		}
	}
	telemetry.Log(o.g.log, telemetry.EventOriginsNotRecorded, "records", len(records), "oldest_ms", time.Since(items[0].since).Milliseconds())
	for _, u := range items {
		if time.Since(u.since) < origin.Retention {
			o.sends.submit(u)
		}
	}
	pause(ctx, originRetryInterval)
	return nil
}

// toldKeepers is the number of keepers that are told of records that are not in the store.
const toldKeepers = 2

// record has records appended by a keeper, or by this instance if it reaches none. It reports
// whether they are in the store, and whether enough keepers were told.
func (o *origins) record(ctx context.Context, records []origin.Record) (durable, told bool) {
	keepers, _ := o.present()
	answers := 0
	for _, k := range keepers {
		answer, err := o.recordAt(ctx, k, records)
		if err != nil {
			continue
		}
		o.addBases(answer.Bases)
		if answer.Durable {
			return true, true
		}
		if answers++; answers == toldKeepers {
			return false, true
		}
	}
	if answers == 0 {
		answer, err := o.answerRecord(ctx, records)
		return err == nil && answer.Durable, false
	}
	return false, answers >= min(toldKeepers, len(keepers))
}

// recordAt has records appended by one keeper.
func (o *origins) recordAt(ctx context.Context, k originKeeper, records []origin.Record) (answer originsRecorded, err error) {
	if k.id == o.g.self.ID {
		return o.answerRecord(ctx, records)
	}
	err = o.g.transport.Call(ctx, k.id, k.address, queryRecordOrigins, records, &answer)
	return answer, err
}

// answerRecord appends records for another instance.
func (o *origins) answerRecord(ctx context.Context, records []origin.Record) (originsRecorded, error) {
	ctx, cancel := context.WithTimeout(ctx, keeperWait)
	defer cancel()
	err := o.log.record(ctx, records)
	_, bases := o.log.find(nil)
	return originsRecorded{Durable: err == nil, Bases: bases}, nil
}

// OriginOf implements edge.Scheduler.
func (g *Instance) OriginOf(ctx context.Context, pool entity.PoolID, stream entity.RequestID) (string, *verdict.Error) {
	o := g.origins
	l := &lookup{stream: origin.Stream{Pool: pool, Request: stream}, since: time.Now(), done: make(chan struct{})}
	o.mu.Lock()
	own, known := o.table.Find(l.stream)
	o.mu.Unlock()
	if known {
		return originOrUnknown(own.Version, true)
	}
	o.lookups.submit(l)
	select {
	case <-l.done:
		return originOrUnknown(l.version, l.known)
	case <-ctx.Done():
		return originOrUnknown("", false)
	}
}

func originOrUnknown(version string, known bool) (string, *verdict.Error) {
	if !known || version == "" {
		return "", &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonOriginUnknown, RetryAfter: originRetryAfter,
			Message: "it is not known which version began the stream; begin it anew if this goes on"}
	}
	return version, nil
}

// find looks for the origins of several streams at once. Those that it can't tell are looked for
// again until maxOriginSearch has passed.
func (o *origins) find(ctx context.Context, lookups []*lookup) error {
	var streams []origin.Stream
	var latest time.Time
	for _, l := range lookups {
		streams = append(streams, l.stream)
		if l.since.After(latest) {
			latest = l.since
		}
	}
	keepers, _ := o.present()
	found := o.findInStore(ctx, keepers, streams, latest)
	found.Records = append(found.Records, o.findElsewhere(ctx, keepers, streams, found.Records)...)
	o.addBases(found.Bases)
	again := false
	for _, l := range lookups {
		read := !l.since.After(found.readSince)
		l.resolve(&found.originsFound, read)
		if !l.known && !read && time.Since(l.since) < maxOriginSearch {
			o.lookups.submit(l)
			again = true
			continue
		}
		close(l.done)
	}
	if again {
		pause(ctx, originRetryInterval)
	}
	return nil
}

// storeSearch is what was found in the store.
type storeSearch struct {
	originsFound
	// readSince is a time since which the store has been read to its end, zero if it has not.
	readSince time.Time
}

// findInStore asks the keepers, and then this instance, one after the other until one has read the
// store since a time.
func (o *origins) findInStore(ctx context.Context, keepers []originKeeper, streams []origin.Stream, since time.Time) (found storeSearch) {
	var records []origin.Record
	for _, k := range slices.Concat(keepers, []originKeeper{{id: o.g.self.ID}}) {
		asked := time.Now()
		answer, err := o.findAt(ctx, k, findOrigins{Streams: streams, Age: asked.Sub(since)})
		if err != nil {
			continue
		}
		records = append(records, answer.Records...)
		if read := asked.Add(-answer.ReadBefore); answer.Read && read.After(found.readSince) {
			found = storeSearch{originsFound: answer, readSince: read}
		}
		if !since.After(found.readSince) {
			break
		}
	}
	found.Records = records
	return found
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
	if k.id == o.g.self.ID {
		return o.answerFind(ctx, query)
	}
	err = o.g.transport.Call(ctx, k.id, k.address, queryFindOrigins, query, &found)
	return found, err
}

// answerFind answers a query for origins. The store is read unless it has been since the search
// began, or the bases are all that is asked for and were read not long ago.
func (o *origins) answerFind(ctx context.Context, query findOrigins) (found originsFound, err error) {
	if !query.KnownOnly {
		arrived := time.Now()
		within := query.Age
		if len(query.Streams) == 0 {
			within = basesInterval
		}
		if !o.log.readWithin(within) {
			ctx, cancel := context.WithTimeout(ctx, keeperWait)
			defer cancel()
			// After an error it counts what was read before.
			_ = o.log.read(ctx)
		}
		found.ReadBefore, found.Read = o.log.readBefore(arrived)
	}
	found.Records, found.Bases = o.log.find(query.Streams)
	found.OnlyBase = o.log.onlyBase()
	return found, nil
}

// resolve sets the result of the search. Without a record, the base began the stream, if the store
// has been read since the search began.
func (l *lookup) resolve(found *originsFound, read bool) {
	known := origin.NewTable()
	known.Add(time.Time{}, found.Records)
	known.SetBases(found.Bases)
	if r, ok := known.Find(l.stream); ok && l.stream.Request != "" {
		l.version, l.known = r.Version, true
		return
	}
	if !read || l.stream.Request == "" && !found.hasOnlyBase(l.stream.Pool) {
		return
	}
	if b, ok := known.Base(l.stream.Pool); ok && b.Version != "" {
		l.version, l.known = b.Version, true
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
