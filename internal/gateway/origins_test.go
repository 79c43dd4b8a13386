package gateway

import (
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/origin"
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
		l.resolve(&originsFound{Records: recorded, Bases: bases, OnlyBase: tt.onlyBase}, tt.read)
		if l.version != tt.want || l.known != (tt.want != "") {
			t.Errorf("%s: got version %q, known %v, want %q", tt.name, l.version, l.known, tt.want)
		}
	}
}
