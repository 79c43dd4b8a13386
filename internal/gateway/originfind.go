package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/origin"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

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
	case <-o.g.phases.dispatching.Done():
		return "", edge.Stopping()
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
	o.addBases(found.Bases, found.Era)
	known := found.table()
	again := false
	for _, l := range lookups {
		read := !l.since.After(found.readSince)
		l.resolve(known, &found.originsFound, read)
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
		arrived := o.log.boot()
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
	found.Era = o.log.era()
	found.Records, found.Bases = o.log.find(query.Streams)
	found.OnlyBase = o.log.onlyBase()
	return found, nil
}

// table returns a table of what was found.
func (f *originsFound) table() *origin.Table {
	t := origin.NewTable()
	t.Add(time.Time{}, f.Records)
	t.SetBases(f.Bases)
	t.SetEra(f.Era)
	return t
}

// resolve sets the result of the search, given the table of what was found. Without a record, the base
// began the stream, if the store has been read since the search began and the base is confirmed in the era
// that was read.
func (l *lookup) resolve(known *origin.Table, found *originsFound, read bool) {
	if r, ok := known.Find(l.stream); ok && l.stream.Request != "" {
		l.version, l.known = r.Version, true
		return
	}
	if !read || l.stream.Request == "" && !found.hasOnlyBase(l.stream.Pool) {
		return
	}
	l.version, l.known = known.Confirmed(l.stream.Pool)
}

// hasOnlyBase reports whether only the base can have begun a stream of a pool.
func (f *originsFound) hasOnlyBase(pool entity.PoolID) bool {
	return slices.Contains(f.OnlyBase, pool)
}
