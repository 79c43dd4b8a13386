package daemon

import (
	"github.com/medlarhold/medlarhold/internal/core/claim"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/limit"
	"github.com/medlarhold/medlarhold/internal/core/membership"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/placement"
	"github.com/medlarhold/medlarhold/internal/core/steward"
	"github.com/medlarhold/medlarhold/internal/peer"
)

// messages returns the registry of messages and queries between instances. Each is
// registered with the cause under which its traffic is counted: control or requests.
func messages() *peer.Registry {
	r := peer.NewRegistry()
	peer.Register[membership.Message](r, "m", peer.CauseControl)
	peer.Register[node.HeldSlots](r, "hold", peer.CauseControl)
	peer.Register[peer.Reservation](r, "ask", peer.CauseRequest)
	peer.Register[entity.Grant](r, "ok", peer.CauseRequest)
	peer.Register[entity.Refusal](r, "no", peer.CauseRequest)
	peer.Register[entity.Preemption](r, "yield", peer.CauseRequest)
	peer.Register[entity.Release](r, "free", peer.CauseRequest)
	peer.Register[node.Withdraw](r, "undo", peer.CauseRequest)
	peer.Register[limit.Demand](r, "want", peer.CauseControl)
	peer.Register[limit.Share](r, "lend", peer.CauseControl)
	peer.Register[claim.Proposal](r, "claim", peer.CauseRequest)
	peer.Register[claim.Outcome](r, "done", peer.CauseRequest)
	peer.Register[claim.Decision](r, "won", peer.CauseRequest)
	peer.Register[claim.Acknowledgement](r, "noted", peer.CauseRequest)
	peer.Register[steward.Demand](r, "load", peer.CauseControl)
	peer.Register[placement.Report](r, "held", peer.CauseControl)
	r.RegisterQuery(methodConfig, peer.CauseControl)
	r.RegisterQuery(methodLookup, peer.CauseRequest)
	return r
}
