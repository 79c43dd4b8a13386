package steward

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/placement"
)

// A report goes to the candidates when it or the candidates have changed. An
// unchanged one is sent again after reportResendInterval, since the message may
// have been lost.
func TestForwardReportSendsOnlyChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(DefaultSettings(entity.Instance{ID: "self", Zone: "z"}))
	s.orders.candidates = []entity.InstanceID{"a", "b"}
	empty := placement.Report{Endpoint: "e"}
	loaded := placement.Report{Endpoint: "e", Ready: []placement.Item{{Model: "m", Version: "1"}}}
	steps := []struct {
		name   string
		after  time.Duration
		report placement.Report
		to     []entity.InstanceID
		sent   int
	}{
		{"first report", 0, empty, []entity.InstanceID{"a", "b"}, 2},
		{"unchanged report", time.Second, empty, []entity.InstanceID{"a", "b"}, 0},
		{"changed report", time.Second, loaded, []entity.InstanceID{"a", "b"}, 2},
		{"new candidate", time.Second, loaded, []entity.InstanceID{"a", "c"}, 2},
		{"unchanged before the resend interval", reportResendInterval - time.Second, loaded, []entity.InstanceID{"a", "c"}, 0},
		{"unchanged after the resend interval", time.Second, loaded, []entity.InstanceID{"a", "c"}, 2},
	}
	for _, step := range steps {
		now = now.Add(step.after)
		s.orders.candidates = step.to
		s.ForwardReport(now, step.report)
		if got := len(s.Ready().Reports); got != step.sent {
			t.Errorf("%s: got %d reports, want %d", step.name, got, step.sent)
		}
	}
}
