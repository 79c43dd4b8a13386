package steward

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/placement"
)

// TestReportsAreToldWhenTheySayNews follows what goes to the candidates.
func TestReportsAreToldWhenTheySayNews(t *testing.T) {
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
		{"the first", 0, empty, []entity.InstanceID{"a", "b"}, 2},
		{"the same", time.Second, empty, []entity.InstanceID{"a", "b"}, 0},
		{"a change", time.Second, loaded, []entity.InstanceID{"a", "b"}, 2},
		{"another candidate", time.Second, loaded, []entity.InstanceID{"a", "c"}, 2},
		{"the same again", tellAgain - time.Second, loaded, []entity.InstanceID{"a", "c"}, 0},
		{"a lost one is made good", time.Second, loaded, []entity.InstanceID{"a", "c"}, 2},
	}
	for _, step := range steps {
		now = now.Add(step.after)
		s.orders.candidates = step.to
		s.ForwardReport(now, step.report)
		if got := len(s.Ready().Reports); got != step.sent {
			t.Errorf("%s: %d reports, want %d", step.name, got, step.sent)
		}
	}
}
