package main

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/testbed"
)

// targetContracts and targetInstances are the sizes at the target, to which
// the engines of a run with fewer contracts are scaled.
const (
	targetContracts = 19_000
	targetInstances = 470
)

// stateResult is what one instance with a large configuration takes.
type stateResult struct {
	contracts, endpoints int
	ready                time.Duration
	rates                rates
}

// states measures single instances with configurations of several sizes.
func states(ctx context.Context, o options, programs testbed.Programs) ([]stateResult, error) {
	var out []stateResult
	for _, n := range o.states {
		r, err := oneState(ctx, o, programs, n)
		if err != nil {
			return out, trace.Wrap(err)
		}
		out = append(out, r)
	}
	return out, nil
}

// oneState starts one instance of a fleet whose other zone has the engines.
func oneState(ctx context.Context, o options, programs testbed.Programs, contracts int) (stateResult, error) {
	perZone := max(1, targetInstances*contracts/targetContracts)
	r := stateResult{contracts: contracts, endpoints: perZone * enginesPerInstance}
	f, err := newFleet(ctx, programs, []entity.ZoneID{"far"}, perZone, contracts, 0)
	defer f.close()
	if err != nil {
		return r, trace.Wrap(err)
	}
	begin := time.Now()
	// An instance of the zone owns the engines, so that the one measured owns none.
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
	before, err := take(in)
	if err != nil {
		return r, trace.Wrap(err)
	}
	if err := pause(ctx, o.window()); err != nil {
		return r, trace.Wrap(err)
	}
	after, err := take(in)
	r.rates = between(before, after)
	return r, trace.Wrap(err)
}
