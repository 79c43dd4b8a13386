package fleet

import (
	"context"
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// followConfig keeps the configuration up to date with the log, or with the
// peers while there is no log.
func (in *instance) followConfig() {
	ask := in.follower.Ask()
	wait := time.Duration(0)
	if ask.MayWait {
		wait = configWait
	}
	asked := in.f.now
	in.f.platform.read(in, ask.Stream, ask.From, ask.Limit, wait, func(res platform.ReadResult, err error) {
		pause := time.Duration(0)
		if err == nil {
			in.follower.Handle(asked, res)
		} else {
			in.restoreFromPeer()
			pause = configRetryPause
		}
		in.applyConfig()
		in.f.after(pause, func() { in.do(in.followConfig) })
	})
}

// restoreFromPeer takes the newest configuration that a peer in reach has.
func (in *instance) restoreFromPeer() {
	peer, newest, found := in.node.NewestPeer()
	if !found {
		return
	}
	from := in.f.byID[peer.ID]
	if from.state == stateLive && in.f.net.reaches(in.zone, from.zone) {
		in.follower.Restore(from.follower.State())
	}
	in.follower.SettleForPeers(config.Revision(newest))
}

// comparePeers asks a peer for its configuration when the peers have been ahead
// for a while, whatever the log says.
func (in *instance) comparePeers() {
	in.every(peerCompareInterval, func() {
		in.updateReady()
		_, newest, found := in.node.NewestPeer()
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

func (in *instance) applyConfig() {
	st := in.follower.State()
	if st.Revision() != in.node.Revision() {
		in.step(node.Configured{State: st})
		in.f.record(history.Event{Kind: history.KindInForce, Instance: in.id, Revision: int64(st.Revision())})
	}
	in.updateReady()
}

// updateReady lets callers in under the daemon's condition: the configuration
// is known, and so is who else is in the zone.
func (in *instance) updateReady() {
	if !in.ready && in.follower.CaughtUp() && in.node.View().Joined {
		in.ready = true
		in.recordUp()
	}
}

// recordUp records that the instance serves callers, in reach of the log. If
// the log is out, its return says so.
func (in *instance) recordUp() {
	if in.f.logReachable(in.zone) {
		in.f.record(history.Event{Kind: history.KindUp, Instance: in.id, Zone: in.zone})
	}
}

// renewListEntry keeps the instance on the platform's list and reads the list.
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
