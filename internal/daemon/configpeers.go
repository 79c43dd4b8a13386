package daemon

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// methodConfig asks a peer for the configuration that it has in force.
const methodConfig = "config"

// configQuestion asks for one part of the configuration in force.
type configQuestion struct {
	Part int `json:"part"`
	// After is the end of the part before.
	After config.Cursor `json:"after,omitzero"`
}

// answer gives a peer one part of the configuration in force.
func (f *configFollower) answer(params json.RawMessage) (any, error) {
	var q configQuestion
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, trace.BadParameter("malformed question")
	}
	part, err := f.d.loop.State().Part(string(f.d.self.ID), q.Part, q.After)
	return part, trace.Wrap(err)
}

// askPeers takes the newest configuration that a reachable peer has, while the
// log can't be read. An instance that holds the newest of all peers in reach
// may serve.
func (f *configFollower) askPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*peerExchangeTimeout)
	defer cancel()
	var peer entity.Instance
	var newest int64
	var found bool
	f.d.loop.Do(ctx, func(n *node.Node) { peer, newest, found = n.NewestPeer() })
	if !found {
		return
	}
	if config.Revision(newest) > f.follower.State().Revision() {
		f.takeFrom(ctx, peer)
	}
	f.follower.CatchUpWithPeers(config.Revision(newest))
}

// takeFrom fetches the configuration of a peer part by part.
func (f *configFollower) takeFrom(ctx context.Context, peer entity.Instance) {
	var parts config.Assembly
	for q := (configQuestion{}); ; q.Part++ {
		var part config.SnapshotPart
		if f.d.transport.Call(ctx, peer.ID, peer.PeerAddress, methodConfig, q, &part) != nil {
			return
		}
		q.After = part.End
		st, whole, err := parts.Add(part)
		if err != nil {
			return
		}
		if whole {
			f.follower.Restore(st)
			telemetry.Log(f.d.log, telemetry.EventConfigFromPeer, "peer", peer.ID, "revision", st.Revision())
			return
		}
	}
}
