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

// TestMain pins the seed, so that every run checks the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// said is one refusal as it was heard.
type said struct {
	owner int
	model entity.ModelID
	ref   entity.Refusal
	at    time.Time
}

// naiveMayShed goes through all that was ever said: each owner's newest
// refusal with a given floor counts while it holds.
func naiveMayShed(all []said, owners int, covers []eligible.Digest, w *entity.Work, now time.Time) bool {
	for o := range owners {
		if covers[o] == 0 {
			continue
		}
		newest := make(map[entity.Tier]said)
		for _, s := range all {
			if s.owner == o && s.model == w.Model {
				newest[s.ref.Floor] = s
			}
		}
		holds := false
		for floor, s := range newest {
			holds = holds || (floor <= w.Tier && now.Before(s.at.Add(s.ref.FloorFor)) && s.ref.EndpointsDigest == uint64(covers[o]))
		}
		if !holds {
			return false
		}
	}
	return true
}

// MayShed agrees with a scan of all refusals; Next asks nobody twice at the
// same stage, nobody that could not serve, and ends.
func TestRouterAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := rapid.IntRange(1, 4).Draw(t, "owners")
		r := New(DefaultSettings())
		var rows []OwnedEndpoint
		covers := map[entity.ModelID][]eligible.Digest{"a": make([]eligible.Digest, owners), "b": make([]eligible.Digest, owners)}
		for i := range rapid.IntRange(1, 8).Draw(t, "endpoints") {
			o := rapid.IntRange(0, owners-1).Draw(t, "owner")
			m := rapid.SampledFrom([]entity.ModelID{"a", "b"}).Draw(t, "model")
			id := entity.EndpointID(fmt.Sprintf("e%d", i))
			covers[m][o] = covers[m][o].With(id)
			rows = append(rows, OwnedEndpoint{
				Owner:    entity.InstanceID(fmt.Sprintf("i%d", o)),
				Endpoint: entity.Endpoint{ID: id, Pool: "p", Models: []entity.ModelID{m}, Slots: 1},
			})
		}
		r.SetPool("p", rows)
		now := epoch
		var all []said
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			w := work("w", entity.BlockHash(rapid.IntRange(1, 5).Draw(t, "head")), entity.Tier(rapid.IntRange(0, 3).Draw(t, "tier")))
			w.Model = rapid.SampledFrom([]entity.ModelID{"a", "b"}).Draw(t, "asked")
			s := said{owner: rapid.IntRange(0, owners-1).Draw(t, "from"), model: w.Model, at: now}
			s.ref = entity.Refusal{
				Floor:           entity.Tier(rapid.IntRange(0, 3).Draw(t, "floor")),
				FloorFor:        time.Duration(rapid.IntRange(1, 300).Draw(t, "for")) * time.Millisecond,
				EndpointsDigest: uint64(covers[w.Model][s.owner]),
			}
			if rapid.IntRange(0, 4).Draw(t, "stale view") == 0 {
				s.ref.EndpointsDigest++
			}
			r.Refused(now, entity.InstanceID(fmt.Sprintf("i%d", s.owner)), w, s.ref, now)
			all = append(all, s)
			if got, want := r.MayShed(now, w, nil), naiveMayShed(all, owners, covers[w.Model], w, now); got != want {
				t.Fatalf("MayShed(%s, tier %d) = %v, naive %v", w.Model, w.Tier, got, want)
			}
			walk(t, r, now, w, covers[w.Model])
		}
	})
}

// walk asks for choices until there are none, all being refused.
func walk(t *rapid.T, r *Router, now time.Time, w *entity.Work, covers []eligible.Digest) {
	seen := make(map[Choice]bool)
	var tried []Choice
	for {
		c, ok := r.Next(now, w, tried)
		if !ok {
			return
		}
		key := Choice{Owner: c.Owner, NoWait: c.NoWait}
		if seen[key] {
			t.Fatalf("%+v is asked again", c)
		}
		seen[key] = true
		var o int
		if _, err := fmt.Sscanf(string(c.Owner), "i%d", &o); err != nil || covers[o] == 0 {
			t.Fatalf("%+v can't serve %s", c, w.Model)
		}
		c.Refused = true
		tried = append(tried, c)
	}
}
