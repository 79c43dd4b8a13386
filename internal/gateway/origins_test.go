package gateway

import (
	"context"
	"errors"
	"testing"

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
	begin("after")
	if got := originOf("after"); got != "v2" {
		t.Errorf("got origin %q for a stream sent after that, want v2", got)
	}
}
