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

// methodConfig is the query for the configuration that a peer has in force.
const methodConfig = "config"

// configQuery requests one part of the configuration in force.
type configQuery struct {
	Part int `json:"part"`
	// After is the end of the previous part, zero for the first.
	After config.Cursor `json:"after,omitzero"`
}

// handleQuery returns to a peer one part of the configuration in force.
func (f *configFollower) handleQuery(params json.RawMessage) (any, error) {
	var q configQuery
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, trace.BadParameter("malformed question")
	}
	part, err := f.d.loop.State().Part(string(f.d.self.ID), q.Part, q.After)
	return part, trace.Wrap(err)
}

// fetchFromPeers fetches the newest configuration that a reachable peer holds,
// for use while the log service is unavailable. An instance that holds the newest
// configuration of all reachable peers counts as caught up and may serve.
func (f *configFollower) fetchFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*peerExchangeTimeout)
	defer cancel()
	var peer entity.Instance
	var newest int64
	var found bool
	f.d.loop.Do(ctx, func(n *node.Node) { peer, newest, found = n.NewestRevisionPeer() })
	if !found {
		return
	}
	if config.Revision(newest) > f.follower.State().Revision() {
		f.fetchFrom(ctx, peer)
	}
	f.follower.CatchUpWithPeers(config.Revision(newest))
}

// fetchFrom fetches the configuration of a peer part by part and restores it. It
// gives up at the first error.
func (f *configFollower) fetchFrom(ctx context.Context, peer entity.Instance) {
	var parts config.Assembly
	for q := (configQuery{}); ; q.Part++ {
		var part config.SnapshotPart
		if f.d.transport.Call(ctx, peer.ID, peer.PeerAddress, methodConfig, q, &part) != nil {
			return
		}
		q.After = part.End
		st, complete, err := parts.Add(part)
		if err != nil {
			return
		}
		if complete {
			f.follower.Restore(st)
			telemetry.Log(f.d.log, telemetry.EventConfigFromPeer, "peer", peer.ID, "revision", st.Revision())
			return
		}
	}
}
