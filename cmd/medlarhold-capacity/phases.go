package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/testbed"
)

// phase holds the measurements of one window of a run.
type phase struct {
	fleet, name             string
	mean                    rates
	maxControl, maxResident float64
	length                  time.Duration
	note                    string
}

// loadWarmUp is the time for which the load runs before its window. Idle engines are
// polled only every 16 s, and the first poll after the load begins returns everything
// that has happened since the previous one, which would distort the window.
const loadWarmUp = 20 * time.Second

// frozenDivisor sets how many instances the cut freezes: one in this many, but at
// least one.
const frozenDivisor = 6

// measureFleets measures fleets of several sizes in one zone, and one fleet with two
// zones.
func measureFleets(ctx context.Context, o options, programs testbed.Programs) ([]phase, error) {
	var out []phase
	for _, n := range o.sizes {
		phases, err := measureFleet(ctx, o, programs, []entity.ZoneID{"a"}, n)
		out = append(out, phases...)
		if err != nil {
			return out, trace.Wrap(err)
		}
	}
	if o.perZone == 0 {
		return out, nil
	}
	phases, err := measureFleet(ctx, o, programs, []entity.ZoneID{"a", "b"}, o.perZone)
	return append(out, phases...), trace.Wrap(err)
}

// measureFleet starts one fleet and measures all windows with it.
func measureFleet(ctx context.Context, o options, programs testbed.Programs, zones []entity.ZoneID, perZone int) ([]phase, error) {
	f, err := newFleet(ctx, programs, zones, perZone, 0, len(zones)*perZone)
	defer f.close()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := f.startAll(perZone); err != nil {
		return nil, trace.Wrap(err)
	}
	r := &recorder{fleet: f, name: fmt.Sprintf("%d zone × %d", len(zones), perZone), window: o.window()}
	if err := pause(ctx, time.Duration(o.settle)*time.Second); err != nil {
		return nil, trace.Wrap(err)
	}
	steps := []func(context.Context) error{r.idle, r.loaded, r.rolling, r.cut, r.healed}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return r.phases, trace.Wrap(err)
		}
	}
	return r.phases, nil
}

// recorder measures the windows of one fleet.
type recorder struct {
	fleet  *fleet
	name   string
	window time.Duration
	phases []phase
	frozen []*testbed.Instance
}

// record measures instances over a window, which lasts until the function during
// returns. The instances must run for the whole window.
func (r *recorder) record(name, note string, instances []*testbed.Instance, during func() error) error {
	before := make([]sample, len(instances))
	for i, in := range instances {
		s, err := takeSample(in)
		if err != nil {
			return trace.Wrap(err)
		}
		before[i] = s
	}
	begin := time.Now()
	if err := during(); err != nil {
		return trace.Wrap(err)
	}
	length := time.Since(begin)
	all := make([]rates, len(instances))
	for i, in := range instances {
		s, err := takeSample(in)
		if err != nil {
			return trace.Wrap(err)
		}
		all[i] = ratesBetween(before[i], s)
	}
	p := phase{fleet: r.name, name: name, length: length, note: note}
	p.mean, p.maxControl, p.maxResident = mean(all)
	r.phases = append(r.phases, p)
	fmt.Fprintf(os.Stderr, "%s %s: control %.0f B/s (max %.0f), cpu %.2f%%, resident %.1f MB\n",
		p.fleet, p.name, p.mean.control, p.maxControl, 100*p.mean.cpu, p.mean.residentMB)
	return nil
}

func (r *recorder) wait(ctx context.Context) func() error {
	return func() error { return pause(ctx, r.window) }
}

func (r *recorder) idle(ctx context.Context) error {
	return r.record("idle", "no requests", r.fleet.instances, r.wait(ctx))
}

func (r *recorder) loaded(ctx context.Context) error {
	loading, cancel := context.WithCancel(ctx)
	defer cancel()
	var l load
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(loading, r.fleet.instances, loadPerSecond)
	}()
	err := pause(ctx, loadWarmUp)
	if err == nil {
		err = r.record("loaded", "", r.fleet.instances, r.wait(ctx))
	}
	cancel()
	<-done
	if err == nil {
		r.phases[len(r.phases)-1].note = fmt.Sprintf("%d calls/s in total, %d tokens each; %d of %d complete", loadPerSecond, loadTokens, l.ok.Load(), l.sent.Load())
	}
	return trace.Wrap(err)
}

// rolling measures a rolling restart: it replaces half of the instances, one after
// the other, and measures the other half.
func (r *recorder) rolling(ctx context.Context) error {
	f := r.fleet
	half := len(f.instances) / 2
	replaced, staying := slices.Clone(f.instances[:half]), slices.Clone(f.instances[half:])
	note := fmt.Sprintf("%d instances replaced one after the other", half)
	err := r.record("rolling restart", note, staying, func() error {
		for _, in := range replaced {
			if ctx.Err() != nil {
				return trace.Wrap(ctx.Err())
			}
			if err := in.Signal(syscall.SIGTERM); err != nil {
				return trace.Wrap(err)
			}
			<-in.Done()
			next, err := f.start(f.zones[0])
			if err != nil {
				return trace.Wrap(err)
			}
			if err := next.WaitReady(); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	})
	f.instances = slices.DeleteFunc(f.instances, func(in *testbed.Instance) bool { return slices.Contains(replaced, in) })
	return trace.Wrap(err)
}

// cut measures a window in which some instances are frozen and the platform
// refuses all calls.
func (r *recorder) cut(ctx context.Context) error {
	f := r.fleet
	n := max(1, len(f.instances)/frozenDivisor)
	r.frozen = slices.Clone(f.instances[:n])
	for _, in := range r.frozen {
		if err := in.Signal(syscall.SIGSTOP); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := f.setFaults(`{"log_outage":"refuse","list_outage":"refuse"}`); err != nil {
		return trace.Wrap(err)
	}
	return r.record("cut", fmt.Sprintf("%d instances frozen, platform refuses all calls", n), f.instances[n:], r.wait(ctx))
}

// healed measures the window after the cut has ended.
func (r *recorder) healed(ctx context.Context) error {
	if err := r.fleet.setFaults(`{"log_outage":"","list_outage":""}`); err != nil {
		return trace.Wrap(err)
	}
	for _, in := range r.frozen {
		if err := in.Signal(syscall.SIGCONT); err != nil {
			return trace.Wrap(err)
		}
	}
	return r.record("healed", "the window after the cut", r.fleet.instances, r.wait(ctx))
}
