package admission

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// A promise is given only by an owner that knows all that its endpoints run.
func TestPromiseNeedsSettledEndpoints(t *testing.T) {
	s := DefaultSettings()
	late := epoch.Add(s.SettleFor)
	report := func(at time.Time, running int) entity.LoadReport {
		return entity.LoadReport{Endpoint: "e", At: at, Running: running}
	}
	tests := []struct {
		name  string
		setUp func(*Owner)
		at    time.Time
		want  string
	}{
		{"just gained", func(*Owner) {}, late.Add(-1), "refuse b"},
		{"settled", func(o *Owner) { o.Tick(late) }, late, "refuse b floor=1"},
		{"away for long", func(*Owner) {}, late.Add(time.Hour), "refuse b"},
		{"unknown work", func(o *Owner) { o.Tick(late); o.HandleLoadReport(late, report(late, 2)) }, late, "refuse b"},
		{"known work", func(o *Owner) { o.Tick(late); o.HandleLoadReport(late, report(late, 1)) }, late, "refuse b floor=1"},
		{"work of before", func(o *Owner) {
			o.Tick(late)
			o.Release(late, entity.Release{ID: "a", Endpoint: "e"})
			o.Reserve(late, ask(work("c", 1)))
			o.HandleLoadReport(late, report(late.Add(-1), 2))
			o.Ready()
		}, late, "refuse b floor=1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := New(s)
			o.SetEndpoints(epoch, []entity.Endpoint{engine("e", 1)})
			o.Reserve(epoch.Add(s.RestrictedFor), ask(work("a", 1)))
			o.Ready()
			for now := epoch.Add(s.RestrictedFor); now.Before(late); now = now.Add(TickInterval) {
				o.Tick(now)
			}
			tt.setUp(o)
			r := ask(work("b", 1))
			r.NoWait = true
			o.Reserve(tt.at, r)
			expect(t, o, tt.want)
		})
	}
}

// A gained endpoint takes only the highest tier while an earlier owner may
// still give promises.
func TestGainedEndpointIsQuietAtFirst(t *testing.T) {
	s := DefaultSettings()
	tests := []struct {
		name    string
		leaving bool
		at      time.Duration
		want    []string
	}{
		{"earlier owner may not know", false, s.RestrictedFor - 1, []string{"grant high e"}},
		{"it must know by now", false, s.RestrictedFor, []string{"grant high e", "grant low e"}},
		{"earlier owner is leaving", true, s.FloorFor, []string{"grant high e", "grant low e"}},
		{"its promises may hold", true, s.FloorFor - 1, []string{"grant high e"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := New(s)
			o.SetEndpoints(epoch, []entity.Endpoint{engine("e", 2)})
			if tt.leaving {
				o.PreviousOwnerLeaving(epoch, "e")
			}
			for tier, id := range []string{"high", "low"} {
				w := work(id, entity.Tier(tier))
				w.PromptTokens = 10
				o.Reserve(epoch.Add(tt.at), ask(w))
			}
			expect(t, o, tt.want...)
		})
	}
}

// The endpoints of another zone stay quiet for longer.
func TestForeignEndpointIsQuietForLonger(t *testing.T) {
	s := DefaultSettings()
	s.Zone = "own"
	o := New(s)
	foreign := engine("e", 1)
	foreign.Zone = "other"
	o.SetEndpoints(epoch, []entity.Endpoint{foreign})
	o.Reserve(epoch, ask(work("low", 1)))
	for now := epoch; now.Before(epoch.Add(s.RemoteRestrictedFor)); now = now.Add(TickInterval) {
		o.Tick(now)
	}
	expect(t, o)
	o.Tick(epoch.Add(s.RemoteRestrictedFor))
	expect(t, o, "grant low e")
}

// An endpoint of another zone proves nothing until the members of that zone
// would have been listed, and heard of.
func TestForeignEndpointsSettleLater(t *testing.T) {
	s := DefaultSettings()
	s.Zone = "here"
	tests := []struct {
		name string
		zone entity.ZoneID
		at   time.Duration
		want string
	}{
		{"own zone", "here", s.SettleFor, "refuse b floor=1"},
		{"other zone as early", "there", s.SettleFor, "refuse b"},
		{"other zone just before", "there", s.RemoteSettleFor - 1, "refuse b"},
		{"other zone", "there", s.RemoteSettleFor, "refuse b floor=1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := New(s)
			e := engine("e", 1)
			e.Zone = tt.zone
			o.SetEndpoints(epoch, []entity.Endpoint{e})
			at := epoch.Add(tt.at)
			for now := epoch; now.Before(at); now = now.Add(TickInterval) {
				o.Tick(now)
			}
			o.Reserve(at, ask(work("a", 0)))
			o.Ready()
			r := ask(work("b", 1))
			r.NoWait = true
			o.Reserve(at, r)
			expect(t, o, tt.want)
		})
	}
}
