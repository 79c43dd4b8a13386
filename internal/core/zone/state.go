package zone

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/endpointlimit"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quarantine"
	"github.com/medlarhold/medlarhold/internal/core/quota"
	"github.com/medlarhold/medlarhold/internal/core/rollout"
)

// LocalState gives access to the state of the instance that runs the Core.
type LocalState interface {
	Config() *catalog.Config
	Endpoints() *catalog.Endpoints
	// ProvedAt is when the configuration was last proved to be the newest, on the
	// clock of Moment.Boot; 0 for never.
	ProvedAt() time.Duration
	// ReadAge is the time since discovery was last read, by this instance or by
	// the one it was received from; negative for never.
	ReadAge(now time.Time) time.Duration
	// StoreAnswerAge is the time since the store last answered this instance
	// itself, negative for never.
	StoreAnswerAge(now time.Time) time.Duration
	Cursors() Cursors
	// RecordPeerVersion processes the version of another instance's configuration.
	RecordPeerVersion(now time.Time, from entity.InstanceID, version int64)
	// NewestVersion is the newest version that another instance is known to have. LaggingFor is for how long the one in
	// force has been older than that without becoming newer, 0 if it is not older.
	NewestVersion() int64
	LaggingFor(now time.Time) time.Duration
	// StoreUptime is how long the store has been read without an outage.
	// RecordPeerStoreUptime processes the StoreUptime of another instance.
	StoreUptime(now time.Time) time.Duration
	RecordPeerStoreUptime(now time.Time, uptime time.Duration)
	// RecentDepartures returns the departures that other instances may not know yet,
	// RecordDepartures processes those of another instance.
	RecentDepartures(now time.Time) []catalog.Departure
	RecordDepartures(now time.Time, d []catalog.Departure)
	// QuarantineVersion, QuarantineSince and MergeQuarantine are forwarded to the instance's
	// quarantine.Table.
	QuarantineVersion() uint64
	QuarantineSince(now time.Time, version uint64) *quarantine.State
	MergeQuarantine(now time.Time, s *quarantine.State)
	// EndpointLimitsVersion, EndpointLimitsSince and MergeEndpointLimits are forwarded to the
	// instance's endpointlimit.Table.
	EndpointLimitsVersion() uint64
	EndpointLimitsSince(boot time.Duration, version uint64) []endpointlimit.Statement
	MergeEndpointLimits(boot time.Duration, statements []endpointlimit.Statement)
	// RolloutWords and MergeRollouts are forwarded to the instance's rollout.Table, DrainRollouts
	// to its rollout.Tally.
	RolloutWords(boot time.Duration) []rollout.Word
	DrainRollouts(boot time.Duration) ([]rollout.Count, []rollout.Traffic)
	MergeRollouts(boot time.Duration, from entity.InstanceID, m *rollout.Message)
	// Limits returns the limits in force.
	Limits() map[entity.OrgID]quota.Limit
	// ExpectedInstances, Used, LedgerChanged, Urgent and ApplyAccounts are forwarded to the
	// instance's quota.Meter.
	ExpectedInstances(now time.Time) int
	LedgerChanged()
	Used() map[entity.OrgID]quota.Usage
	Urgent() bool
	ApplyAccounts(now time.Time, accounts map[entity.OrgID]quota.Account, instances int)
	// HandoverLevel returns the initial level of an organisation's bucket in a
	// new ledger.
	HandoverLevel(now time.Time, org entity.OrgID, l quota.Limit) float64
	// HandoverWindow returns what is known of the use before a new ledger, nil if nothing.
	HandoverWindow(now time.Time, org entity.OrgID) *quota.UseWindow
}

// Moment is a point in time on two clocks.
type Moment struct {
	Now time.Time
	// Boot is the time since boot, which includes time in suspension.
	Boot time.Duration
}

// Update is what was received from another instance.
type Update struct {
	Config *catalog.Config
	// Endpoints is the complete table, which may be empty, if HasTable is set. Changes
	// are the changes since the table whose digest is BaseDigest.
	Endpoints  []catalog.Endpoint
	HasTable   bool
	Changes    []catalog.Change
	BaseDigest uint64
	// Cursors are sent with each bulletin. They belong to the configuration of
	// ConfigVersion and to the endpoints whose digest is TableDigest.
	Cursors       *Cursors
	ConfigVersion int64
	TableDigest   uint64
	// ProvedAt is when the configuration was proved to be the newest, 0 for no
	// proof.
	ProvedAt time.Duration
	// ReadAge is the age of the endpoints and cursors.
	ReadAge time.Duration
	From    entity.InstanceID
	// DecodeErr is set if the sender's configuration or table could not be
	// decoded.
	DecodeErr error
}
