package load

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/medlarhold/medlarhold/internal/prefix"
)

func mixedSettings() Settings {
	return Settings{
		Targets: []string{"http://a", "http://b"}, Run: "t", Seed: 7, RatePerSec: 100, Requests: 5000, MaxTime: time.Hour,
		Profiles: []Profile{
			{Name: "report", Weight: 3, Tier: "patient", Templates: 50, TemplateTokens: 32, Prompt: Length{Median: 40, Sigma: 2}, Output: Length{Median: 20, Sigma: 1}},
			{Name: "booking", Weight: 1, Tier: "urgent", Call: &Call{Method: "POST", Path: "/payouts", Body: "{}", Keyed: true}},
		},
	}
}

func TestPlanDependsOnTheSeedOnly(t *testing.T) {
	s := mixedSettings()
	s.Requests = 200
	if diff := cmp.Diff(Plan(s), Plan(s)); diff != "" {
		t.Fatalf("got different plans for one seed:\n%s", diff)
	}
	other := s
	other.Seed++
	if cmp.Equal(Plan(s), Plan(other)) {
		t.Fatal("got the same plan for two seeds, want different ones")
	}
}

func TestPlanFollowsItsDistributions(t *testing.T) {
	plan := Plan(mixedSettings())
	var prompts, outputs []int
	templates, keys := map[string]int{}, map[string]bool{}
	for _, a := range plan {
		if a.Profile.Call != nil {
			keys[a.Key] = true
			continue
		}
		name, _, _ := strings.Cut(a.Prompt, ".")
		templates[name]++
		prompts = append(prompts, prefix.Tokens(a.Prompt)-32) // without the template
		outputs = append(outputs, a.MaxTokens)
	}
	mean := plan[len(plan)-1].Due.Seconds() / float64(len(plan))
	if math.Abs(mean-0.01) > 0.001 {
		t.Errorf("got a mean gap of %.4f s, want 0.01 ± 0.001", mean)
	}
	if share := float64(len(keys)) / float64(len(plan)); math.Abs(share-0.25) > 0.03 {
		t.Errorf("got a share of bookings of %.3f, want 0.25 ± 0.03", share)
	}
	slices.Sort(prompts)
	slices.Sort(outputs)
	if m := prompts[len(prompts)/2]; m < 36 || m > 44 {
		t.Errorf("got a median prompt of %d tokens, want 36 to 44", m)
	}
	if lo, hi := prompts[0], prompts[len(prompts)-1]; lo < 1 || hi > 4000 || hi < 2000 {
		t.Errorf("got prompts from %d to %d tokens, want at least 1, and a longest one of 2000 to 4000", lo, hi)
	}
	if hi := outputs[len(outputs)-1]; hi < 200 || hi > 2000 {
		t.Errorf("got a longest answer of %d tokens, want 200 to 2000", hi)
	}
	if templates["report/0"] < 5*templates["report/9"] || len(templates) < 30 {
		t.Errorf("templates do not follow a Zipf distribution: %v", templates)
	}
}

func TestPlanIsBounded(t *testing.T) {
	s := mixedSettings()
	s.Requests = 10
	if n := len(Plan(s)); n != 10 {
		t.Errorf("got %d requests, want 10", n)
	}
	s.Requests, s.MaxTime = 5000, time.Second
	plan := Plan(s)
	if n := len(plan); n < 50 || n > 150 || plan[n-1].Due > time.Second {
		t.Errorf("got %d requests, the last due at %v; want 50 to 150, none due after 1 s", n, plan[n-1].Due)
	}
}

func TestPromptsShareTheirTemplateOnly(t *testing.T) {
	templates := map[string]int{}
	for _, a := range Plan(mixedSettings()) {
		if a.Profile.Call != nil || len(a.Prompt) < 3*64 {
			continue // no prompt, or one of less than three blocks of 64 bytes
		}
		name, _, _ := strings.Cut(a.Prompt, ".")
		h := prefix.Hash(a.Prompt, 0)
		templates[name+"/template"]++
		if h[1] != prefix.Hash(text(name, 32), 0)[1] {
			t.Fatalf("request %d: the second block differs from the template's", a.Number)
		}
		if h[2] == prefix.Hash(text(name, 48), 0)[2] {
			t.Fatalf("request %d: the third block is still the template's", a.Number)
		}
	}
	if len(templates) < 20 {
		t.Fatalf("got %d templates, want at least 20", len(templates))
	}
}

func TestCheck(t *testing.T) {
	if err := mixedSettings().Check(); err != nil {
		t.Fatal(err)
	}
	for name, invalidate := range map[string]func(*Settings){
		"targets":  func(s *Settings) { s.Targets = nil },
		"rate":     func(s *Settings) { s.RatePerSec = 0 },
		"requests": func(s *Settings) { s.Requests = 0 },
		"profiles": func(s *Settings) { s.Profiles = nil },
		"weight":   func(s *Settings) { s.Profiles[0].Weight = -1 },
		"median":   func(s *Settings) { s.Profiles[0].Output.Median = 0 },
		"zipf":     func(s *Settings) { s.Profiles[0].ZipfExponent = 1 },
	} {
		s := mixedSettings()
		invalidate(&s)
		if s.Check() == nil {
			t.Errorf("invalid %s: got no error", name)
		}
	}
}
