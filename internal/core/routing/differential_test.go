package routing

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// TestMain sets a fixed seed, so that every run checks the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// receivedRefusal is one refusal and when it was received.
type receivedRefusal struct {
	owner   int
	model   entity.ModelID
	refusal entity.Refusal
	at      time.Time
}

// naiveMayShed is the reference for MayShed. It scans all refusals: the newest
// one of each owner and floor counts until it expires.
func naiveMayShed(all []receivedRefusal, owners int, digests []eligible.Digest, w *entity.Work, now time.Time) bool {
	for o := range owners {
		if digests[o] == 0 {
			continue
		}
		newest := make(map[entity.Tier]receivedRefusal)
		for _, s := range all {
			if s.owner == o && s.model == w.Model {
				newest[s.refusal.Floor] = s
			}
		}
		guaranteed := false
		for floor, s := range newest {
			guaranteed = guaranteed || (floor <= w.Tier && now.Before(s.at.Add(s.refusal.FloorFor)) && s.refusal.EndpointsDigest == uint64(digests[o]))
		}
		if !guaranteed {
			return false
		}
	}
	return true
}

// MayShed agrees with a scan of all refusals. Next returns no owner twice at the
// same stage and none that could not serve the request, and runs out of choices.
func TestRouterMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := rapid.IntRange(1, 4).Draw(t, "owners")
		r := New(DefaultSettings())
		var rows []OwnedEndpoint
		digests := map[entity.ModelID][]eligible.Digest{"a": make([]eligible.Digest, owners), "b": make([]eligible.Digest, owners)}
		for i := range rapid.IntRange(1, 8).Draw(t, "endpoints") {
			o := rapid.IntRange(0, owners-1).Draw(t, "owner")
			m := rapid.SampledFrom([]entity.ModelID{"a", "b"}).Draw(t, "model")
			id := entity.EndpointID(fmt.Sprintf("e%d", i))
			digests[m][o] = digests[m][o].With(id)
			rows = append(rows, OwnedEndpoint{
				Owner:    entity.InstanceID(fmt.Sprintf("i%d", o)),
				Endpoint: entity.Endpoint{ID: id, Pool: "p", Models: []entity.ModelID{m}, Slots: 1},
			})
		}
		r.SetPool("p", rows)
		now := epoch
		var all []receivedRefusal
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			w := work("w", entity.BlockHash(rapid.IntRange(1, 5).Draw(t, "head")), entity.Tier(rapid.IntRange(0, 3).Draw(t, "tier")))
			w.Model = rapid.SampledFrom([]entity.ModelID{"a", "b"}).Draw(t, "asked")
			s := receivedRefusal{owner: rapid.IntRange(0, owners-1).Draw(t, "from"), model: w.Model, at: now}
			s.refusal = entity.Refusal{
				Floor:           entity.Tier(rapid.IntRange(0, 3).Draw(t, "floor")),
				FloorFor:        time.Duration(rapid.IntRange(1, 300).Draw(t, "for")) * time.Millisecond,
				EndpointsDigest: uint64(digests[w.Model][s.owner]),
			}
			if rapid.IntRange(0, 4).Draw(t, "stale view") == 0 {
				s.refusal.EndpointsDigest++
			}
			r.Refused(now, entity.InstanceID(fmt.Sprintf("i%d", s.owner)), w, s.refusal, now)
			all = append(all, s)
			if got, want := r.MayShed(now, w, nil), naiveMayShed(all, owners, digests[w.Model], w, now); got != want {
				t.Fatalf("MayShed(%s, tier %d) = %v, want %v", w.Model, w.Tier, got, want)
			}
			refuseAll(t, r, now, w, digests[w.Model])
		}
	})
}

// refuseAll calls Next until it has no more choices and marks each as refused.
func refuseAll(t *rapid.T, r *Router, now time.Time, w *entity.Work, digests []eligible.Digest) {
	seen := make(map[Choice]bool)
	var tried []Choice
	for {
		c, ok := r.Next(now, w, tried)
		if !ok {
			return
		}
		key := Choice{Owner: c.Owner, NoWait: c.NoWait}
		if seen[key] {
			t.Fatalf("choice %+v was returned twice at the same stage", c)
		}
		seen[key] = true
		var o int
		if _, err := fmt.Sscanf(string(c.Owner), "i%d", &o); err != nil || digests[o] == 0 {
			t.Fatalf("choice %+v has no endpoint that serves %s", c, w.Model)
		}
		c.Refused = true
		tried = append(tried, c)
	}
}
