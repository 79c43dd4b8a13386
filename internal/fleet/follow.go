package fleet

import (
	"context"
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// followConfig keeps the configuration up to date from the log, or from a peer while
// the log is unavailable.
func (in *instance) followConfig() {
	ask := in.follower.NextRead()
	wait := time.Duration(0)
	if ask.MayWait {
		wait = configWait
	}
	asked := in.f.now
	in.f.platform.read(in, ask.Stream, ask.From, ask.Limit, wait, func(res platform.ReadResult, err error) {
		pause := time.Duration(0)
		if err == nil {
			in.follower.HandleRead(asked, res)
		} else {
			in.restoreFromPeer()
			pause = configRetryPause
		}
		in.applyConfig()
		in.f.after(pause, func() { in.do(in.followConfig) })
	})
}

// restoreFromPeer takes the configuration of the peer with the newest one, if that
// peer can be reached.
func (in *instance) restoreFromPeer() {
	peer, newest, found := in.node.NewestRevisionPeer()
	if !found {
		return
	}
	from := in.f.byID[peer.ID]
	if from.state == stateLive && in.f.net.reaches(in.zone, from.zone) {
		in.follower.Restore(from.follower.State())
	}
	in.follower.CatchUpWithPeers(config.Revision(newest))
}

// comparePeers takes the configuration of a peer if the peers have had a newer one for
// two comparisons in a row, whether or not the log is available.
func (in *instance) comparePeers() {
	in.every(peerCompareInterval, func() {
		in.updateReady()
		_, newest, found := in.node.NewestRevisionPeer()
		switch {
		case !found || newest <= int64(in.follower.State().Revision()):
			in.behindSince = time.Time{}
		case in.behindSince.IsZero():
			in.behindSince = in.f.now
		default:
			in.restoreFromPeer()
			in.applyConfig()
		}
	})
}

// applyConfig passes a changed configuration to the core.
func (in *instance) applyConfig() {
	st := in.follower.State()
	if st.Revision() != in.node.Revision() {
		in.step(node.Configured{State: st})
		in.f.record(history.Event{Kind: history.KindInForce, Instance: in.id, Revision: int64(st.Revision())})
	}
	in.updateReady()
}

// updateReady marks the instance ready to serve callers under the same condition as
// in the daemon: it knows the configuration and the other members of its zone.
func (in *instance) updateReady() {
	if !in.ready && in.follower.CaughtUp() && in.node.View().Joined {
		in.ready = true
		in.recordUp()
	}
}

// recordUp records that the instance serves callers and has access to the log. If it
// has none, recordLogAccess records this once the log is available again.
func (in *instance) recordUp() {
	if in.f.logReachable(in.zone) {
		in.f.record(history.Event{Kind: history.KindUp, Instance: in.id, Zone: in.zone})
	}
}

// renewListEntry periodically renews the instance's entry in the platform list and
// reads the list.
func (in *instance) renewListEntry() {
	in.every(platform.ListRenewInterval, func() {
		if !in.f.net.reaches(in.zone, platformZone) {
			return
		}
		self := in.self
		self.Leaving = in.stopping
		if err := in.f.platform.store.Register(context.Background(), self); err != nil {
			panic(err) // the store itself never fails
		}
		in.step(node.PlatformList{Instances: in.f.platform.list()})
	})
}
