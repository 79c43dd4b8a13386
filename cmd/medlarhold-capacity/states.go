package main

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/testbed"
)

// targetContracts and targetInstances are the sizes of the target deployment. The
// number of engines in a run is proportional to its contracts in the same ratio.
const (
	targetContracts = 19_000
	targetInstances = 470
)

// stateResult holds the resources that one instance with a large configuration
// uses, and the time until it was ready.
type stateResult struct {
	contracts, endpoints int
	ready                time.Duration
	rates                rates
}

// measureStates measures single instances with configurations of several sizes.
func measureStates(ctx context.Context, o options, programs testbed.Programs) ([]stateResult, error) {
	var out []stateResult
	for _, n := range o.states {
		r, err := measureState(ctx, o, programs, n)
		if err != nil {
			return out, trace.Wrap(err)
		}
		out = append(out, r)
	}
	return out, nil
}

// measureState measures an instance in a zone without engines; all engines are in the
// other zone.
func measureState(ctx context.Context, o options, programs testbed.Programs, contracts int) (stateResult, error) {
	perZone := max(1, targetInstances*contracts/targetContracts)
	r := stateResult{contracts: contracts, endpoints: perZone * enginesPerInstance}
	f, err := newFleet(ctx, programs, []entity.ZoneID{"far"}, perZone, contracts, 0)
	defer f.close()
	if err != nil {
		return r, trace.Wrap(err)
	}
	begin := time.Now()
	// An instance in the engines' zone owns them, so that the measured one owns none.
	if _, err := f.start("far"); err != nil {
		return r, trace.Wrap(err)
	}
	in, err := f.start("near")
	if err != nil {
		return r, trace.Wrap(err)
	}
	if err := in.WaitReady(); err != nil {
		return r, trace.Wrap(err)
	}
	r.ready = time.Since(begin)
	if err := pause(ctx, time.Duration(o.settle)*time.Second); err != nil {
		return r, trace.Wrap(err)
	}
	before, err := takeSample(in)
	if err != nil {
		return r, trace.Wrap(err)
	}
	if err := pause(ctx, o.window()); err != nil {
		return r, trace.Wrap(err)
	}
	after, err := takeSample(in)
	r.rates = ratesBetween(before, after)
	return r, trace.Wrap(err)
}
