package daemon

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/lease"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/placement"
	"github.com/medlarhold/medlarhold/internal/core/steward"
	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

const (
	// leaseExchangeTimeout bounds an append or read of a lease stream at the log
	// service, in addition to the time that a read waits for records.
	leaseExchangeTimeout = 2 * time.Second
	// snapshotCheckInterval is the time between two checks whether a snapshot is due.
	snapshotCheckInterval = 10 * time.Second
	// weightSizeInterval is the time between two checks for models whose weight size is unknown.
	weightSizeInterval = 5 * time.Second
)

// step queues one step of the steward to run on the control goroutine.
func (d *Daemon) step(f func(now time.Time, s *steward.Steward)) {
	d.loop.Step(f)
}

// leaseAppend appends a record of a lease on a new goroutine, without retries, and
// hands the outcome to the steward.
func (d *Daemon) leaseAppend(a steward.Append) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaseExchangeTimeout)
		defer cancel()
		_, err := d.logService.Append(ctx, a.Stream, a.Append.Data)
		d.step(func(now time.Time, s *steward.Steward) {
			s.HandleAppendResult(now, a.Lease, a.Append.ID, stream.StatusOf(err))
		})
	}()
}

// leaseRead makes one read for a lease on a new goroutine and hands the result to the steward.
func (d *Daemon) leaseRead(r steward.Read) {
	go func() {
		res, err := readStream(d.logService, r.Read, leaseExchangeTimeout)
		d.step(func(now time.Time, s *steward.Steward) { s.HandleReadResult(now, r.Lease, res, err) })
	}()
}

// readStream makes one read. If records from the requested offset on have been
// removed by retention, it returns a result without records and no error; the
// reader learns of the removal from First.
func readStream(log platform.Log, r stream.ReadRequest, timeout time.Duration) (platform.ReadResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+r.Wait)
	defer cancel()
	res, err := log.Read(ctx, r.Stream, r.From, r.Limit, r.Wait)
	if errors.Is(err, platform.ErrTruncated) {
		res.Records, err = nil, nil
	}
	return res, err
}

// sendOrder sends an order to an endpoint on a new goroutine. It checks right
// before sending that the lease is still held.
func (d *Daemon) sendOrder(o placement.Order) {
	e, ok := d.loop.State().Endpoint(o.Endpoint)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lease.DefaultMaxOrderDuration)
		defer cancel()
		fence, ok := d.maySendOrder(ctx, e)
		if !ok {
			return
		}
		_, err := d.endpoints.Order(ctx, e.Address, wireOrder(o, fence))
		if errors.Is(err, endpoint.ErrOldFence) {
			telemetry.Log(d.log, telemetry.EventOrderRefused, "endpoint", o.Endpoint, "fence", fence)
			return
		}
		telemetry.Log(d.log, telemetry.EventOrderSent, "endpoint", o.Endpoint, "action", o.Action, "model", o.Item.Model, "fence", fence)
	}()
}

// maySendOrder returns the fencing number for an order to the endpoint, and
// whether the order may be sent now.
func (d *Daemon) maySendOrder(ctx context.Context, e *entity.Endpoint) (fence platform.Offset, ok bool) {
	done := make(chan struct{})
	d.step(func(now time.Time, s *steward.Steward) {
		fence, ok = s.MaySendOrder(now, e.ChecksFencing)
		close(done)
	})
	select {
	case <-done:
		return fence, ok
	case <-ctx.Done():
		return 0, false
	}
}

// wireOrder converts an order to its form on the wire.
func wireOrder(o placement.Order, fence platform.Offset) endpoint.Order {
	kind := endpoint.OrderLoadModel
	switch {
	case o.Action == placement.ActionUnload:
		kind = endpoint.OrderUnloadModel
	case o.Item.Adapter != "":
		kind = endpoint.OrderLoadAdapter
	}
	return endpoint.Order{Kind: kind, Model: o.Item.Model, Adapter: o.Item.Adapter, Version: o.Item.Version,
		Fence: int64(fence), ExpiresMs: o.TTL.Milliseconds()}
}

// reportOrderStatus reports the models that an owned endpoint has loaded to the
// decision core and to the steward.
func (d *Daemon) reportOrderStatus(id entity.EndpointID, st endpoint.OrderStatus) {
	r := placement.Report{Endpoint: id}
	models := slices.Sorted(maps.Keys(st.Models))
	for _, m := range models {
		r.Ready = append(r.Ready, placement.Item{Model: m, Version: st.Models[m]})
	}
	d.loop.Post(node.LoadedModels{Endpoint: id, Models: models})
	d.step(func(now time.Time, s *steward.Steward) { s.ForwardReport(now, r) })
}

// appendSnapshots appends a snapshot of the configuration whenever one is due and
// this instance holds the snapshot lease, until ctx ends.
func (d *Daemon) appendSnapshots(ctx context.Context) {
	every(ctx, snapshotCheckInterval, func() {
		held := false
		done := make(chan struct{})
		d.step(func(now time.Time, s *steward.Steward) {
			held = s.HoldsSnapshotLease(now)
			close(done)
		})
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
		if held {
			d.follower.snapshot(ctx)
		}
	})
}

// fetchWeightSizes requests from the weight store the sizes of weights that are
// not known yet, until ctx ends.
func (d *Daemon) fetchWeightSizes(ctx context.Context) {
	known := make(map[string]bool)
	every(ctx, weightSizeInterval, func() {
		for m := range d.loop.State().Models() {
			if m.Weights == "" || known[m.Weights] {
				continue
			}
			size, err := d.weights.Stat(ctx, m.Weights)
			if err != nil {
				return // retried after the interval
			}
			known[m.Weights] = true
			d.step(func(now time.Time, s *steward.Steward) { s.SetWeightSize(now, m.Weights, size) })
		}
	})
}

// every runs f at once and then once per interval, until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
