package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// tierNames are the tiers of every simulation, the highest first.
var tierNames = []string{"urgent", "normal", "patient"}

const tiers = 3

// publish appends a configuration change as an operator would. basedOn is the revision
// of the object that the operator read; it is outdated if another operator has changed
// the object since.
func (f *Fleet) publish(k config.Kind, name string, doc any, basedOn config.Revision) {
	if f.platform.refusing+f.platform.unresponsive > 0 {
		return // the log fails for operators too
	}
	spec, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	f.changeCount++
	data, err := config.EncodeChange(config.Change{ID: fmt.Sprintf("c%d", f.changeCount), Kind: k, Name: name, BasedOn: basedOn, Spec: spec})
	if err != nil {
		panic(err)
	}
	ctx := context.Background()
	off, err := f.platform.store.Append(ctx, config.Stream, data)
	if err != nil {
		return
	}
	f.applyChange(k, name, platform.Record{Offset: off, Time: f.now, Data: data}, doc)
}

// applyChange applies a change to the accepted configuration, and records the events
// that follow from it if it was accepted.
func (f *Fleet) applyChange(k config.Kind, name string, rec platform.Record, doc any) {
	var out config.Outcome
	f.accepted, out = f.accepted.Apply(rec)
	if out.Result != config.ResultApplied {
		f.tracef("change of %s %s: %s %v", k, name, out.Result, out.Problems)
		return
	}
	f.tracef("change of %s %s accepted as %d", k, name, rec.Offset+1)
	f.record(history.Event{Kind: history.KindAccept, Revision: int64(rec.Offset) + 1})
	e, ok := doc.(config.Endpoint)
	if !ok {
		return
	}
	kind := history.KindReturn
	if e.Leaving {
		kind = history.KindLeave
	}
	f.record(history.Event{Kind: kind, Endpoint: e.Name})
}

// publishAll publishes the initial configuration.
func (f *Fleet) publishAll(endpoints []config.Endpoint) {
	f.publish(config.KindDeployment, config.DeploymentName, config.Deployment{Tiers: tierNames, Scores: config.ScoreWeights{Goodput: 1}}, 0)
	f.publish(config.KindPool, string(chatPool), config.Pool{Name: chatPool, Kind: entity.KindEngine, QueuePerEndpoint: 4, MaxBodyBytes: 1 << 20, RetryBudget: 0.5}, 0)
	f.publish(config.KindPool, string(ledgerPool), config.Pool{Name: ledgerPool, Kind: entity.KindService, QueuePerEndpoint: 4, MaxBodyBytes: 1 << 20, RetryBudget: 0.5}, 0)
	f.publish(config.KindModel, string(chatModel), config.Model{Name: chatModel, Pool: chatPool}, 0)
	for _, e := range endpoints {
		f.publish(config.KindEndpoint, string(e.Name), e, 0)
	}
	for _, org := range f.orgs {
		f.publish(config.KindContract, string(org), f.contract(org, 400), 0)
	}
}

func (f *Fleet) contract(org entity.OrgID, concurrent int) config.Contract {
	hash := fmt.Sprintf("%064x", len(org)+int(org[len(org)-1]))
	return config.Contract{Organisation: org, Tiers: tierNames, RequestsPerSec: 400, Burst: 400, MaxConcurrent: concurrent, KeyHashes: []string{hash}}
}

// raceOperators makes two operators change the same object based on the same revision.
func (f *Fleet) raceOperators() {
	org := pick(f.clock, f.orgs)
	seen := f.accepted.ObjectState(config.KindContract, string(org)).Revision
	first, second := 300+f.rng.Intn(100), 300+f.rng.Intn(100)
	f.publish(config.KindContract, string(org), f.contract(org, first), seen)
	f.after(f.between(0, 100*time.Millisecond), func() {
		f.publish(config.KindContract, string(org), f.contract(org, second), seen)
	})
}

// publishLeaving makes an operator take an endpoint out of service, or put it back.
func (f *Fleet) publishLeaving(id entity.EndpointID, leaving bool) {
	e := f.configured[id]
	e.Leaving = leaving
	f.publish(config.KindEndpoint, string(id), e, f.accepted.ObjectState(config.KindEndpoint, string(id)).Revision)
}
