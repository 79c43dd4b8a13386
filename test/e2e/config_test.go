package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/standin/engine"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// operator publishes changes through the log and collects their outcomes.
type operator struct {
	name     string
	follower *config.Follower
	outcomes map[string]config.Result
}

func newOperator(name string) *operator {
	return &operator{name: name, follower: config.NewFollower(), outcomes: map[string]config.Result{}}
}

// sync reads the log to its end and takes the outcomes of the operator's changes.
func (o *operator) sync(c *cluster) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	out, err := o.follower.Sync(ctx, c.Log(), time.Now)
	for _, x := range out {
		if x.Operator == o.name {
			o.outcomes[x.ChangeID] = x.Result
		}
	}
	return err
}

// publish appends one change of the contract, based on its current revision.
func (o *operator) publish(c *cluster, n int) error {
	return o.change(c, fmt.Sprintf("%s-%d", o.name, n), config.KindContract, "bank", "burst", 1000+n)
}

// change appends a change of one field of an object, based on its current revision.
func (o *operator) change(c *cluster, id string, kind config.Kind, name, field string, value any) error {
	if err := o.sync(c); err != nil {
		return err
	}
	current := o.follower.State().ObjectState(kind, name)
	var spec map[string]any
	if err := json.Unmarshal(current.Spec, &spec); err != nil {
		return err
	}
	spec[field] = value
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	data, err := config.EncodeChange(config.Change{ID: id, Kind: kind, Name: name, BasedOn: current.Revision, Operator: o.name, Spec: raw})
	if err != nil {
		return err
	}
	_, err = c.Log().Append(context.Background(), config.Stream, data)
	return err
}

// publishChanges has one new operator publish changes one after the other and checks that
// all of them are applied.
func (c *cluster) publishChanges(count int) {
	c.t.Helper()
	o := newOperator(fmt.Sprintf("operator-%d", c.calls.seq.Add(1)))
	for n := range count {
		c.must(o.publish(c, n))
	}
	c.must(o.sync(c))
	for id, r := range o.outcomes {
		if r != config.ResultApplied {
			c.t.Errorf("change %s: got result %s, want applied", id, r)
		}
	}
}

// TestOperatorsRace has two operators publish 100 changes of one contract
// concurrently. Every change must be applied or reported as lost to the other
// operator's, and all instances must end at the same revision.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	c := newCluster(t, fast, zone{"a", 2, 1}, zone{"b", 1, 1})
	operators := []*operator{newOperator("anna"), newOperator("jon")}
	errs := make(chan error, len(operators))
	var wg sync.WaitGroup
	for _, o := range operators {
		wg.Go(func() {
			for n := range 50 {
				if err := o.publish(c, n); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		t.Fatal(err)
	}
	applied := 0
	for _, o := range operators {
		c.must(o.sync(c))
		if len(o.outcomes) != 50 {
			t.Errorf("%s: got outcomes of %d changes, want 50", o.name, len(o.outcomes))
		}
		for id, r := range o.outcomes {
			switch r {
			case config.ResultApplied:
				applied++
			case config.ResultLost:
			default:
				t.Errorf("change %s: got result %s, want applied or lost", id, r)
			}
		}
	}
	if a, b := operators[0].follower.State().Revision(), operators[1].follower.State().Revision(); applied == 0 || a != b {
		t.Errorf("got %d changes applied and revisions %d and %d at the operators, want some applied and equal revisions", applied, a, b)
	}
	c.waitSameRevision()
	c.checkServing("after the race")
	c.check()
}

// TestEndpointLeaves marks an engine as leaving in the configuration. Once that is in
// force the engine must get no new requests, and those that run on it must complete.
func TestEndpointLeaves(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slow, zone{"a", 2, 2})
	leaving := c.engines[0]
	var all []*pendingRequest
	for i := range 8 {
		all = append(all, c.stream(c.instances[i%2], "patient", 60))
	}
	for _, f := range all {
		f.waitFirstToken(c)
	}
	o := newOperator("anna")
	c.must(o.change(c, "leave", config.KindEndpoint, string(leaving.row.ID), "leaving", true))
	c.history.Add(history.Event{At: time.Now(), Kind: history.KindLeave, Endpoint: leaving.row.ID})
	c.waitSameRevision()
	before := c.dispatched(leaving)
	for i := range 8 {
		all = append(all, c.stream(c.instances[i%2], "urgent", 5))
	}
	for i, f := range all {
		if got := f.wait(c); got.verdict != verdict.Ran {
			t.Errorf("request %d: got %+v, want it to run", i, got)
		}
	}
	if after := c.dispatched(leaving); before == 0 || after != before {
		t.Errorf("got %d dispatches until the leave was in force and %d in total, want equal numbers above 0", before, after)
	}
	c.check()
}

// dispatched returns the number of dispatches in an engine's journal.
func (c *cluster) dispatched(e *simulatedEndpoint) int {
	c.t.Helper()
	var journal []engine.Entry
	c.must(e.Journal(&journal))
	return len(journal)
}
