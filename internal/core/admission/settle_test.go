package admission

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// An owner guarantees a floor only if it knows all work that runs on its
// endpoints.
func TestGuaranteeNeedsSettledEndpoints(t *testing.T) {
	s := DefaultSettings()
	settledAt := epoch.Add(s.SettleFor)
	report := func(at time.Time, running int) entity.LoadReport {
		return entity.LoadReport{Endpoint: "e", At: at, Running: running}
	}
	tests := []struct {
		name  string
		setUp func(*Owner)
		at    time.Time
		want  string
	}{
		{"before SettleFor", func(*Owner) {}, settledAt.Add(-1), "refuse b"},
		{"settled", func(o *Owner) { o.Tick(settledAt) }, settledAt, "refuse b floor=1"},
		{"after a freeze", func(*Owner) {}, settledAt.Add(time.Hour), "refuse b"},
		{"unknown work", func(o *Owner) { o.Tick(settledAt); o.HandleLoadReport(settledAt, report(settledAt, 2)) }, settledAt, "refuse b"},
		{"known work", func(o *Owner) { o.Tick(settledAt); o.HandleLoadReport(settledAt, report(settledAt, 1)) }, settledAt, "refuse b floor=1"},
		{"work that ended after the report", func(o *Owner) {
			o.Tick(settledAt)
			o.HandleRelease(settledAt, entity.Release{ID: "a", Endpoint: "e"})
			o.HandleReservation(settledAt, reservation(work("c", 1)))
			o.HandleLoadReport(settledAt, report(settledAt.Add(-1), 2))
			o.Ready()
		}, settledAt, "refuse b floor=1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := New(s)
			o.SetEndpoints(epoch, []entity.Endpoint{engine("e", 1)})
			o.HandleReservation(epoch.Add(s.RestrictedFor), reservation(work("a", 1)))
			o.Ready()
			for now := epoch.Add(s.RestrictedFor); now.Before(settledAt); now = now.Add(TickInterval) {
				o.Tick(now)
			}
			tt.setUp(o)
			r := reservation(work("b", 1))
			r.NoWait = true
			o.HandleReservation(tt.at, r)
			expect(t, o, tt.want)
		})
	}
}

// While its previous owner may still give guarantees for it, a gained endpoint is
// granted to the highest tier only.
func TestGainedEndpointIsRestricted(t *testing.T) {
	s := DefaultSettings()
	tests := []struct {
		name    string
		leaving bool
		at      time.Duration
		want    []string
	}{
		{"previous owner may not know yet", false, s.RestrictedFor - 1, []string{"grant high e"}},
		{"previous owner must know", false, s.RestrictedFor, []string{"grant high e", "grant low e"}},
		{"previous owner is leaving", true, s.FloorFor, []string{"grant high e", "grant low e"}},
		{"guarantees of leaving owner may hold", true, s.FloorFor - 1, []string{"grant high e"}},
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
				o.HandleReservation(epoch.Add(tt.at), reservation(w))
			}
			expect(t, o, tt.want...)
		})
	}
}

// The endpoints of a remote zone are restricted to the highest tier for longer.
func TestRemoteEndpointIsRestrictedLonger(t *testing.T) {
	s := DefaultSettings()
	s.Zone = "local"
	o := New(s)
	remote := engine("e", 1)
	remote.Zone = "remote"
	o.SetEndpoints(epoch, []entity.Endpoint{remote})
	o.HandleReservation(epoch, reservation(work("low", 1)))
	for now := epoch; now.Before(epoch.Add(s.RemoteRestrictedFor)); now = now.Add(TickInterval) {
		o.Tick(now)
	}
	expect(t, o)
	o.Tick(epoch.Add(s.RemoteRestrictedFor))
	expect(t, o, "grant low e")
}

// No guarantee is given for an endpoint of a remote zone until all members of that
// zone are certain to be on the platform list and known to this instance.
func TestRemoteEndpointsSettleLater(t *testing.T) {
	s := DefaultSettings()
	s.Zone = "local"
	tests := []struct {
		name string
		zone entity.ZoneID
		at   time.Duration
		want string
	}{
		{"local zone", "local", s.SettleFor, "refuse b floor=1"},
		{"remote zone after SettleFor", "remote", s.SettleFor, "refuse b"},
		{"remote zone before RemoteSettleFor", "remote", s.RemoteSettleFor - 1, "refuse b"},
		{"remote zone after RemoteSettleFor", "remote", s.RemoteSettleFor, "refuse b floor=1"},
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
			o.HandleReservation(at, reservation(work("a", 0)))
			o.Ready()
			r := reservation(work("b", 1))
			r.NoWait = true
			o.HandleReservation(at, r)
			expect(t, o, tt.want)
		})
	}
}
