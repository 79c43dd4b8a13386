package eligible

import (
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

func TestServes(t *testing.T) {
	ep := entity.Endpoint{
		ID: "e", Pool: "p", Models: []entity.ModelID{"m"}, Adapters: []entity.AdapterID{"a"}, KVTokens: 100,
	}
	leaving := ep
	leaving.Leaving = true
	tests := []struct {
		name string
		ep   entity.Endpoint
		work entity.Work
		want bool
	}{
		{"model", ep, entity.Work{Pool: "p", Model: "m"}, true},
		{"adapter", ep, entity.Work{Pool: "p", Model: "m", Adapter: "a"}, true},
		{"other pool", ep, entity.Work{Pool: "q", Model: "m"}, false},
		{"other model", ep, entity.Work{Pool: "p", Model: "n"}, false},
		{"other adapter", ep, entity.Work{Pool: "p", Model: "m", Adapter: "b"}, false},
		{"leaving", leaving, entity.Work{Pool: "p", Model: "m"}, false},
		{"just fits", ep, entity.Work{Pool: "p", Model: "m", PromptTokens: 60, MaxTokens: 40}, true},
		{"too large", ep, entity.Work{Pool: "p", Model: "m", PromptTokens: 60, MaxTokens: 41}, false},
	}
	for _, tt := range tests {
		if got := Serves(&tt.ep, &tt.work); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestDigestIdentifiesASet(t *testing.T) {
	ab, ba := Digest(0).With("a").With("b"), Digest(0).With("b").With("a")
	if ab != ba {
		t.Error("got digests that depend on the order of a set, want the same digest")
	}
	if ab == Digest(0).With("a") || ab == Digest(0).With("a").With("c") {
		t.Error("got the same digest for two sets, want different ones")
	}
}
