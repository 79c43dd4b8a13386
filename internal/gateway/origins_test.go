package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/origin"
	"github.com/medlarhold/medlarhold/internal/core/storeera"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// A read of the store that began before the search does not show a record that was written since.
func TestStreamWithoutARecordBeganAtTheBaseOnlyIfTheStoreWasReadSince(t *testing.T) {
	bases := []origin.Base{{Pool: "p", Version: "v1", Revision: 1}}
	recorded := []origin.Record{{Stream: origin.Stream{Pool: "p", Request: "recorded"}, Version: "v2"}}
	tests := []struct {
		name     string
		request  entity.RequestID
		onlyBase []entity.PoolID
		read     bool
		want     string
	}{
		{"recorded", "recorded", nil, false, "v2"},
		{"not recorded, read since", "other", nil, true, "v1"},
		{"not recorded, read before", "other", nil, false, ""},
		{"not named, others have begun streams", "", nil, true, ""},
		{"not named, only the base has", "", []entity.PoolID{"p"}, true, "v1"},
	}
	for _, tt := range tests {
		l := &lookup{stream: origin.Stream{Pool: "p", Request: tt.request}}
		found := originsFound{Records: recorded, Bases: bases, OnlyBase: tt.onlyBase}
		l.resolve(found.table(), &found, tt.read)
		if l.version != tt.want || l.known != (tt.want != "") {
			t.Errorf("%s: got version %q, known %v, want %q", tt.name, l.version, l.known, tt.want)
		}
	}
}

// originsStore counts the reads of an empty log of origins.
type originsStore struct {
	Store
	reads int
}

func (s *originsStore) Origins(context.Context, storeera.Position) (OriginsRead, error) {
	s.reads++
	return OriginsRead{Next: storeera.Position{}}, nil
}

// A keeper whose machine was suspended after a read of the log must read it again, although its own clock says that
// the read was just now: streams may have begun at other versions meanwhile (ORDER).
func TestReadBeforeASuspensionIsNotRecent(t *testing.T) {
	store := &originsStore{}
	g := New(Settings{Name: "i", Zone: "a"}, Adapter{Store: store}, logr.Discard(), telemetry.NewMetrics())
	t.Cleanup(g.cancel)
	suspended := time.Duration(0)
	g.origins.log.boot = func() time.Duration { return bootTime() + suspended }
	find := func() originsFound {
		found, err := g.origins.answerFind(t.Context(), findOrigins{Streams: []origin.Stream{{Pool: "p", Request: "r"}}, Age: time.Second})
		if err != nil || !found.Read {
			t.Fatalf("got %+v, %v, want a read", found, err)
		}
		return found
	}
	find()
	if find(); store.reads != 1 {
		t.Fatalf("got %d reads for two searches that began a second ago, want 1", store.reads)
	}
	suspended = 5 * time.Second
	if found := find(); store.reads != 2 || found.ReadBefore > time.Second {
		t.Errorf("got %d reads, the last %v before the query, want another one after the suspension", store.reads, found.ReadBefore)
	}
}

// noStore is a store that does not answer.
type noStore struct{ Store }

func (noStore) AppendOrigins(context.Context, *storeera.Position, []OriginRecord) error {
	return errors.New("no store")
}

// An endpoint has restarted under its id with another version, and a stream was sent to it just before
// that was known: which version began it is not certain.
func TestStreamsOfARestartedEndpointGoOnNowhere(t *testing.T) {
	g := New(Settings{Name: "i", Zone: "a"}, Adapter{Store: noStore{}}, logr.Discard(), telemetry.NewMetrics())
	t.Cleanup(g.cancel)
	row := func(start int64, version string) *catalog.Endpoints {
		return catalog.NewEndpoints([]catalog.Endpoint{{Endpoint: entity.Endpoint{ID: "e", Pool: "p"}, Incarnation: start, Version: version}})
	}
	g.origins.addBases([]origin.Base{{Pool: "p", Version: "v1", Revision: 1}}, 0)
	begin := func(id entity.RequestID) {
		e, _ := g.state.endpoints.Load().Get("e")
		g.RecordOrigin(edge.SlotRequest{ID: id, Pool: "p"}, e, 1)
	}
	originOf := func(id entity.RequestID) string {
		r, _ := g.origins.table.Find(origin.Stream{Pool: "p", Request: id})
		return r.Version
	}
	g.setEndpoints(row(1, "v1"))
	begin("before")
	g.setEndpoints(row(2, "v1"))
	if got := originOf("before"); got != "v1" {
		t.Errorf("got origin %q after a restart at the same version, want v1", got)
	}
	begin("uncertain")
	g.setEndpoints(row(3, "v2"))
	if got := originOf("uncertain"); got != "" {
		t.Errorf("got origin %q after a restart at another version, want none", got)
	}
	for id, want := range map[entity.RequestID]bool{"uncertain": false, "of another instance": true} {
		if got := g.OriginStands("p", id, "v1"); got != want {
			t.Errorf("the origin of the running stream %q stands: %v, want %v", id, got, want)
		}
	}
	begin("after")
	if got := originOf("after"); got != "v2" {
		t.Errorf("got origin %q for a stream sent after that, want v2", got)
	}
}

// An instance that has not read discovery for long notices a restart late: streams that it has sent since its last
// read are in doubt, however long ago (ORDER).
func TestLateNoticeOfARestartConcernsAllStreamsSince(t *testing.T) {
	g := New(Settings{Name: "i", Zone: "a"}, Adapter{Store: noStore{}}, logr.Discard(), telemetry.NewMetrics())
	t.Cleanup(g.cancel)
	row := func(start int64, version string) *catalog.Endpoints {
		return catalog.NewEndpoints([]catalog.Endpoint{{Endpoint: entity.Endpoint{ID: "e", Pool: "p"}, Incarnation: start, Version: version}})
	}
	g.origins.addBases([]origin.Base{{Pool: "p", Version: "v1", Revision: 1}}, 0)
	g.setEndpoints(row(1, "v1"))
	const age = 3 * restartNotice
	for _, stale := range []bool{true, false} {
		readAt := time.Now()
		if stale {
			readAt = readAt.Add(-age)
		}
		g.follower.discovery = catalog.NewDiscovery()
		g.follower.discovery.ApplyRead(readAt, nil, false)
		e, _ := g.state.endpoints.Load().Get("e")
		at := incarnation{e.ID, e.Incarnation}
		g.RecordOrigin(edge.SlotRequest{ID: "early", Pool: "p"}, e, 1)
		g.origins.recent[at][0].at = time.Now().Add(-2 * restartNotice)
		g.RecordOrigin(edge.SlotRequest{ID: "late", Pool: "p"}, e, 1)
		if got, want := len(g.origins.recent[at]), map[bool]int{true: 2, false: 1}[stale]; got != want {
			t.Errorf("last read long ago %v: got %d streams that a restart would put in doubt, want %d", stale, got, want)
		}
		delete(g.origins.recent, at)
	}
}
