package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/medlarhold/medlarhold/internal/gateway"
)

const (
	// maxQueries is the number of instances that are queried at a time.
	maxQueries = 32
	// maxNames is the number of instances that a row names.
	maxNames = 4
	// notReached is the belief of an instance that could not be queried.
	notReached = "not reached"
)

// opinion is one thing that an instance holds true.
type opinion struct {
	About, Value string
	// AgeMs is how long ago the instance was last told, 0 if that is not known.
	AgeMs int64
}

// view is a value of a belief, with the instances that hold it.
type view struct {
	About     string   `json:"about"`
	Value     string   `json:"value"`
	Instances []string `json:"instances"`
	// OldestMs is the age of the oldest of these opinions: the instances can't have
	// differed from the others for longer.
	OldestMs int64 `json:"oldest_ms,omitempty"`
}

// compareStates queries instances and shows where they differ.
func (a *App) compareStates(ctx context.Context, addresses []string) error {
	views := viewsOf(a.opinionsOf(ctx, addresses))
	t := table{header: []string{"BELIEF", "VALUE", "INSTANCES", "WHO", "AGE AT MOST"}}
	for _, v := range views {
		t.row(v.About, v.Value, len(v.Instances), names(v.Instances, len(addresses)), ageAtMost(v.OldestMs))
	}
	return a.show(views, t)
}

// opinionsOf returns the opinions of each instance by its name, or by its address if it
// could not be queried.
func (a *App) opinionsOf(ctx context.Context, addresses []string) map[string][]opinion {
	snapshots := make([]*gateway.StateSnapshot, len(addresses))
	failures := make([]error, len(addresses))
	var queries errgroup.Group
	queries.SetLimit(maxQueries)
	for i, address := range addresses {
		queries.Go(func() error {
			snapshots[i], failures[i] = a.stateSnapshot(ctx, address)
			return nil
		})
	}
	_ = queries.Wait() // failures are opinions too
	out := make(map[string][]opinion)
	for i, s := range snapshots {
		if failures[i] != nil {
			out[addresses[i]] = []opinion{{About: notReached, Value: failures[i].Error()}}
			continue
		}
		out[string(s.Instance)] = opinions(s)
	}
	return out
}

// opinions returns what an instance holds true and others should hold true as well.
func opinions(s *gateway.StateSnapshot) []opinion {
	out := []opinion{
		{"ready", cell(s.Ready), 0},
		{"configuration", fmt.Sprint(s.ConfigVersion), max(0, s.ConfigAgeMs)},
		{"endpoints", fmt.Sprint(s.Endpoints), max(0, s.EndpointsAgeMs)},
		{"coordinator of " + string(s.Zone), string(s.Coordinator), 0},
	}
	for _, z := range s.Zones {
		out = append(out,
			opinion{"members of " + string(z.Zone), fmt.Sprint(z.Members), 0},
			opinion{"reaches " + string(z.Zone), cell(z.Reachable), 0})
	}
	for _, l := range s.LimitedEndpoints {
		out = append(out, opinion{"limit of endpoint " + string(l.Endpoint), fmt.Sprint(l.PerSecond), 0})
	}
	for _, q := range s.Quarantined {
		out = append(out, opinion{"quarantined part " + string(q.Part), cell(true), 0})
	}
	for pool, broker := range s.Brokers {
		out = append(out, opinion{fmt.Sprintf("broker of %s in %s", pool, s.Zone), string(broker), 0})
	}
	return out
}

// viewsOf groups opinions by what they are about and by value, the most frequent value
// first.
func viewsOf(byInstance map[string][]opinion) []view {
	grouped := make(map[[2]string]*view)
	for instance, opinions := range byInstance {
		for _, o := range opinions {
			key := [2]string{o.About, o.Value}
			if grouped[key] == nil {
				grouped[key] = &view{About: o.About, Value: o.Value}
			}
			v := grouped[key]
			v.Instances = append(v.Instances, instance)
			v.OldestMs = max(v.OldestMs, o.AgeMs)
		}
	}
	var out []view
	for _, v := range grouped {
		slices.Sort(v.Instances)
		out = append(out, *v)
	}
	slices.SortFunc(out, func(x, y view) int {
		return cmp.Or(cmp.Compare(x.About, y.About), cmp.Compare(len(y.Instances), len(x.Instances)), cmp.Compare(x.Value, y.Value))
	})
	return out
}

// names lists a few instances, or says that it is all of them.
func names(instances []string, all int) string {
	switch {
	case len(instances) == all:
		return "all"
	case len(instances) <= maxNames:
		return strings.Join(instances, ", ")
	}
	return strings.Join(instances[:maxNames], ", ") + ", ..."
}

func ageAtMost(ms int64) string {
	if ms == 0 {
		return ""
	}
	return age(ms)
}
