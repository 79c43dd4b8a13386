package zone

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/endpointlimit"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quarantine"
	"github.com/medlarhold/medlarhold/internal/core/quota"
	"github.com/medlarhold/medlarhold/internal/core/rollout"
	"github.com/medlarhold/medlarhold/internal/core/storeera"
)

// Report is sent by a member to the coordinator.
type Report struct {
	Seq uint64 `json:"n"`
	// Address is the member's peer address, which is stable over restarts.
	Address string                       `json:"a"`
	Used    map[entity.OrgID]quota.Usage `json:"u,omitempty"`
	// ConfigVersion and TableDigest identify the member's configuration and
	// endpoints.
	ConfigVersion int64  `json:"c,omitempty"`
	TableDigest   uint64 `json:"e,omitempty"`
	// TableKnown is set if the sender knows which endpoints there are, maybe none. Instances of older
	// builds never set it.
	TableKnown bool `json:"h,omitempty"`
	// NewestVersion is the newest version that the sender knows of, if it has an older one.
	NewestVersion int64 `json:"k,omitempty"`
	// StoreUptime is how long the sender has read the store without an outage.
	StoreUptime time.Duration `json:"s,omitempty"`
	// StoreAnswerAge is the time since the store last answered the sender itself,
	// negative for never.
	StoreAnswerAge time.Duration `json:"r"`
	// Departures lists the departures of which the sender has recently learned.
	Departures []catalog.Departure `json:"d,omitempty"`
	// EndpointLimits holds the statements of endpoints about their limits that have changed
	// since the last report.
	EndpointLimits []endpointlimit.Statement `json:"m,omitempty"`
	// Quarantine holds the records that have changed since the last report.
	Quarantine *quarantine.State `json:"q,omitempty"`
	// Rollouts holds what the sender has counted for roll-outs since the last report.
	Rollouts *rollout.Message `json:"o,omitempty"`
}

// Bulletin is the coordinator's answer to a report.
type Bulletin struct {
	// ReportSeq is the sequence number of the report.
	ReportSeq uint64 `json:"n"`
	// ProofAge is the time since the configuration of ConfigVersion was proved to
	// be the newest, negative if it never was.
	ProofAge      time.Duration `json:"p"`
	ConfigVersion int64         `json:"v,omitempty"`
	// NewestVersion is the newest version that the sender knows of, if it has an older one.
	NewestVersion int64 `json:"k,omitempty"`
	// ReadAge is the time since the coordinator last read discovery, negative for
	// never.
	ReadAge time.Duration `json:"a"`
	// StoreAnswersOthers is set if the store has answered members of the zone since it
	// last answered the coordinator.
	StoreAnswersOthers bool `json:"w,omitempty"`
	// Config, compressed, is set if the member has an older one. Either
	// Endpoints, the complete compressed table, or Changes, the changes since the
	// member's table, may be set if the member's table differs.
	Config    []byte       `json:"c,omitempty"`
	Endpoints []byte       `json:"e,omitempty"`
	Changes   *TableChange `json:"d,omitempty"`
	// Departures lists the departures of which the sender has recently learned, while its
	// table has not been read for so long that members may not take it.
	Departures []catalog.Departure `json:"g,omitempty"`
	// Cursors are the coordinator's read positions, and TableDigest is the digest
	// of its endpoints at that position.
	TableDigest uint64                         `json:"t,omitempty"`
	Cursors     Cursors                        `json:"s"`
	Accounts    map[entity.OrgID]quota.Account `json:"u,omitempty"`
	// LedgerSeq distinguishes the coordinator's ledgers.
	LedgerSeq int `json:"l,omitempty"`
	// Instances is the number of instances of the deployment.
	Instances int `json:"i"`
	// EndpointLimits holds the statements of endpoints about their limits that have changed
	// since the last bulletin to the member.
	EndpointLimits []endpointlimit.Statement `json:"m,omitempty"`
	// Quarantine holds the records that have changed since the last bulletin to the member.
	Quarantine *quarantine.State `json:"q,omitempty"`
	// Rollouts holds the words about the orders of roll-outs.
	Rollouts *rollout.Message `json:"o,omitempty"`
}

// Cursors are the positions up to which the configuration and the endpoints have
// been read from the store.
type Cursors struct {
	Config       int64 `json:"c"`
	ConfigEra    int64 `json:"f,omitempty"`
	Endpoints    int64 `json:"e"`
	EndpointsEra int64 `json:"g,omitempty"`
}

// NewCursors returns the cursors for two positions.
func NewCursors(config, endpoints storeera.Position) Cursors {
	return Cursors{Config: config.Offset, ConfigEra: config.Era, Endpoints: endpoints.Offset, EndpointsEra: endpoints.Era}
}

// ConfigPosition returns the position up to which the configuration has been read.
func (c *Cursors) ConfigPosition() storeera.Position {
	return storeera.Position{Era: c.ConfigEra, Offset: c.Config}
}

// EndpointsPosition returns the position up to which the endpoints have been read.
func (c *Cursors) EndpointsPosition() storeera.Position {
	return storeera.Position{Era: c.EndpointsEra, Offset: c.Endpoints}
}

// Exchange is sent by the coordinators of two zones to each other.
type Exchange struct {
	Zone entity.ZoneID `json:"z"`
	// LedgerSeq is the number of ledgers that the sender has created: Used counts
	// from zero in each.
	LedgerSeq int    `json:"l,omitempty"`
	Seq       uint64 `json:"n"`
	// AckSeq is the sequence number of the receiver's last exchange.
	AckSeq   uint64        `json:"a,omitempty"`
	ProofAge time.Duration `json:"p"`
	// ConfigVersion is the version of the sender's configuration. Config,
	// compressed, is set if the receiver has had an older one for a while.
	ConfigVersion int64  `json:"v,omitempty"`
	Config        []byte `json:"c,omitempty"`
	// NewestVersion is the newest version that the sender knows of, if it has an older one.
	NewestVersion int64                    `json:"k,omitempty"`
	Used          map[entity.OrgID]float64 `json:"u,omitempty"`
	// Instances is the number of the zone's members whose use is in Used.
	Instances int `json:"i"`
	// StoreUptime is how long the sender has read the store without an outage.
	StoreUptime time.Duration `json:"s,omitempty"`
	// StoreAnswerAge is the time since the store last answered the sender itself,
	// negative for never.
	StoreAnswerAge time.Duration `json:"r"`
	// Departures lists the departures of which the sender has recently learned.
	Departures []catalog.Departure `json:"d,omitempty"`
	// EndpointLimits holds the statements of endpoints about their limits that have changed
	// since the last exchange.
	EndpointLimits []endpointlimit.Statement `json:"m,omitempty"`
	// Quarantine holds the records that have changed since the last exchange.
	Quarantine *quarantine.State `json:"q,omitempty"`
	// Rollouts holds the words about the orders of roll-outs and, if the receiver decides about them, what
	// the sender's zone has counted since the last exchange.
	Rollouts *rollout.Message `json:"o,omitempty"`
}
