package zone

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quota"
)

const (
	// ReportInterval is the time between two reports of a member.
	ReportInterval = 200 * time.Millisecond
	// ExchangeInterval is the time between two exchanges of coordinators.
	ExchangeInterval = 250 * time.Millisecond
	// urgentInterval replaces both intervals while much of a limit is being used.
	urgentInterval = 40 * time.Millisecond
	// maxSentTimes is the number of messages whose send times are kept.
	maxSentTimes = 64
)

// noProof is the ProofAge of an instance without a proof.
const noProof = time.Duration(-1)

// Core implements the zone protocol for one instance, as a member or coordinator.
type Core struct {
	self  entity.Instance
	state LocalState

	coordinator        entity.InstanceID
	remoteCoordinators map[entity.ZoneID]entity.InstanceID
	zoneSize           int
	ledger             *quota.Ledger
	// ledgersOpened counts the ledgers created here, limitsConfig is the
	// configuration whose limits the current ledger has.
	ledgersOpened int
	limitsConfig  *catalog.Config
	// lastLedger names the ledger of the last accounts from another instance.
	lastLedger entity.InstanceID

	// startedAt is the time of the first Tick.
	startedAt      time.Time
	lastSeq        uint64
	sentAt         map[uint64]time.Duration
	lastSend       time.Time
	lastBulletinAt time.Time
	// staleSince is since when the coordinator's reads have been out of date,
	// zero if they are not.
	staleSince time.Time
	// membersListen is set once a member has reported to this instance as the coordinator.
	membersListen bool
	// unprovedSince is since when the coordinator reads the store, but has given no recent proof of the configuration;
	// zero if it has.
	unprovedSince time.Time
	// answersOthersSince is since when the store has answered other members, but not the
	// coordinator that is out of date; zero if that is not known.
	answersOthersSince time.Time
	// readRank is this instance's place among the members of its zone.
	readRank int
	// readDelay is how much longer than others this member waits before it reads.
	readDelay time.Duration
	// othersAnsweredAt is when the store last answered another instance, zoneAnsweredAt
	// another one of this zone, according to their messages. coordinatorSince is since when
	// this instance has been coordinator, zero if it is not.
	othersAnsweredAt, zoneAnsweredAt, coordinatorSince time.Time
	remoteZones                                        map[entity.ZoneID]*remoteZone
	// packedConfig caches the encoded local configuration, tableHistory the
	// changes of the local table. sentConfigs and sentTables record the receivers
	// that were recently sent the complete configuration or table.
	packedConfig            configEncoding
	tableHistory            tableHistory
	sentConfigs, sentTables sentItems
	// quarantineKnown and limitsKnown hold the versions of the quarantine's records and of the
	// statements about limits that each receiver has.
	quarantineKnown, limitsKnown knownVersions
	// limitsVersion is the version of the statements at the last step, limitsChangedAt the
	// time at which it changed.
	limitsVersion   uint64
	limitsChangedAt time.Time

	messages []entity.Outgoing
	updates  []Update
	resends  []Resend
}

// New returns a Core that has no coordinator yet.
func New(self entity.Instance, state LocalState) *Core {
	return &Core{
		self: self, state: state, sentAt: make(map[uint64]time.Duration), remoteZones: make(map[entity.ZoneID]*remoteZone),
		sentConfigs: make(sentItems), sentTables: make(sentItems), readDelay: readDelayOf(self.ID),
		quarantineKnown: make(knownVersions), limitsKnown: make(knownVersions),
	}
}

// Ready returns and clears the messages to send and the updates received, in
// order.
func (c *Core) Ready() ([]entity.Outgoing, []Update) {
	messages, updates := c.messages, c.updates
	c.messages, c.updates = nil, nil
	return messages, updates
}

// SetCoordinators sets the coordinators of this zone and of the others, and the
// number of members of this zone.
func (c *Core) SetCoordinators(local entity.InstanceID, remote map[entity.ZoneID]entity.InstanceID, zoneSize int) {
	if local != c.coordinator {
		c.state.LedgerChanged()
	}
	c.coordinator, c.remoteCoordinators, c.zoneSize = local, remote, max(1, zoneSize)
	if !c.IsCoordinator() {
		c.ledger = nil
	} else if c.ledger == nil {
		c.ledger, c.limitsConfig = quota.NewLedger(c.state.HandoverLevel), nil
		c.ledger.SetPast(c.state.HandoverWindow)
		c.ledgersOpened++
	}
}

// IsCoordinator reports whether this instance is the coordinator of its zone.
func (c *Core) IsCoordinator() bool { return c.coordinator == c.self.ID }

// Tick advances time to at: it sends the report or the exchanges that are due.
func (c *Core) Tick(at Moment) {
	c.updateRole(at.Now)
	c.checkOwnProof(at)
	if !c.due(at.Now) {
		return
	}
	c.lastSend = at.Now
	c.sentConfigs.expire(at.Now)
	c.sentTables.expire(at.Now)
	if !c.IsCoordinator() {
		if c.coordinator != "" {
			c.send(c.coordinator, c.report(at))
		}
		return
	}
	c.ledgerInForce(at.Now).HandleMemberReport(at.Now, c.reporter(c.self.ID, c.self.PeerAddress), c.state.Used())
	c.applyAccounts(at.Now)
	for _, z := range slices.Sorted(maps.Keys(c.remoteCoordinators)) {
		c.send(c.remoteCoordinators[z], c.exchange(at, z))
	}
}

// due reports whether it is time to send, which is sooner while much of a limit
// is being used.
func (c *Core) due(now time.Time) bool {
	interval, urgent := ReportInterval, c.state.Urgent() || c.hasTried(now) || c.hasNewLimits(now)
	if c.IsCoordinator() {
		interval, urgent = ExchangeInterval, urgent || c.ledger.Urgent()
	}
	if urgent {
		interval = urgentInterval
	}
	return now.Sub(c.lastSend) >= interval
}

// ledgerInForce returns the ledger with the limits of the current configuration and the
// number of instances that are expected now.
func (c *Core) ledgerInForce(now time.Time) *quota.Ledger {
	c.ledger.SetExpectedInstances(c.state.ExpectedInstances(now))
	if cfg := c.state.Config(); cfg != c.limitsConfig {
		c.ledger.SetLimits(c.state.Limits())
		c.limitsConfig = cfg
	}
	return c.ledger
}

// applyAccounts passes the coordinator's own accounts to its meter.
func (c *Core) applyAccounts(now time.Time) {
	c.state.ApplyAccounts(now, c.ledger.Accounts(now, c.self.PeerAddress), c.ledger.Instances(now))
}

func (c *Core) reporter(id entity.InstanceID, address string) quota.Reporter {
	return quota.Reporter{Name: address, Process: id, Instances: 1}
}

// nextSeq returns the sequence number of a message whose answer will carry a
// proof.
func (c *Core) nextSeq(at Moment) uint64 {
	c.lastSeq++
	c.sentAt[c.lastSeq] = at.Boot
	delete(c.sentAt, c.lastSeq-maxSentTimes)
	return c.lastSeq
}

func (c *Core) report(at Moment) Report {
	return Report{
		Seq: c.nextSeq(at), Address: c.self.PeerAddress, Used: c.state.Used(),
		ConfigVersion: versionOf(c.state.Config()), NewestVersion: c.newestVersion(), TableDigest: c.state.Endpoints().Digest(), TableKnown: c.state.ReadAge(at.Now) >= 0,
		StoreUptime: c.state.StoreUptime(at.Now), StoreAnswerAge: c.state.StoreAnswerAge(at.Now), Departures: c.state.RecentDepartures(at.Now),
		Quarantine: c.quarantineFor(at.Now, c.coordinator), EndpointLimits: c.limitsFor(at, c.coordinator),
		Rollouts: c.rolloutReport(at),
	}
}

// HandleReport answers a member's report. A member may learn that this instance
// is the coordinator before the instance itself does; its report is then answered
// without accounts.
func (c *Core) HandleReport(at Moment, from entity.InstanceID, r Report) {
	c.recordVersions(at.Now, from, r.ConfigVersion, r.NewestVersion)
	c.state.RecordPeerStoreUptime(at.Now, r.StoreUptime)
	c.recordStoreAnswer(at.Now, r.StoreAnswerAge, true)
	c.state.RecordDepartures(at.Now, r.Departures)
	c.mergeQuarantine(at.Now, from, r.Quarantine)
	c.mergeLimits(at, from, r.EndpointLimits)
	c.mergeRollouts(at, from, r.Rollouts)
	// The position is taken first: the version may be newer than it, but not older.
	b := Bulletin{ReportSeq: r.Seq, Cursors: c.state.Cursors(), ProofAge: c.proofAge(at), ReadAge: c.state.ReadAge(at.Now)}
	b.ConfigVersion, b.NewestVersion = versionOf(c.state.Config()), c.newestVersion()
	c.membersListen = c.membersListen || c.IsCoordinator()
	b.StoreAnswersOthers = c.IsCoordinator() && c.answersOthers(at.Now)
	if b.ReadAge > maxReadAge {
		b.Departures = c.state.RecentDepartures(at.Now)
	}
	b.Config = c.configFor(at.Now, from, r.ConfigVersion)
	b.Quarantine, b.EndpointLimits = c.quarantineFor(at.Now, from), c.limitsFor(at, from)
	b.Rollouts = c.rolloutBulletin(at)
	b.TableDigest = c.state.Endpoints().Digest()
	b.Endpoints, b.Changes = c.tableUpdateFor(at.Now, from, &r)
	if c.ledger != nil {
		c.ledgerInForce(at.Now).HandleMemberReport(at.Now, c.reporter(from, r.Address), r.Used)
		b.LedgerSeq = c.ledgersOpened
		b.Accounts = c.ledger.Accounts(at.Now, r.Address)
		b.Instances = c.ledger.Instances(at.Now)
	}
	c.send(from, b)
}

// HandleBulletin processes the coordinator's answer to a report. Of a bulletin from another
// instance, only the quarantine's records and the statements of endpoints are used: its sender
// won't send them again.
func (c *Core) HandleBulletin(at Moment, from entity.InstanceID, b Bulletin) {
	c.recordVersions(at.Now, from, b.ConfigVersion, b.NewestVersion)
	c.mergeQuarantine(at.Now, from, b.Quarantine)
	c.mergeLimits(at, from, b.EndpointLimits)
	c.mergeRollouts(at, from, b.Rollouts)
	c.state.RecordDepartures(at.Now, b.Departures)
	if from != c.coordinator {
		return
	}
	u := Update{From: from}
	u.Config, u.DecodeErr = unpack(b.Config)
	// A coordinator with an older version may have read it from a store that has lost
	// the newer one; what it proves holds for its own version only.
	if held := max(versionOf(c.state.Config()), versionOf(u.Config)); b.ConfigVersion == held {
		u.ProvedAt = c.provedAt(b.ReportSeq, b.ProofAge)
	}
	if local := c.state.ReadAge(at.Now); b.ReadAge >= 0 && (local < 0 || b.ReadAge <= local) {
		u.Cursors, u.ReadAge, u.ConfigVersion, u.TableDigest = &b.Cursors, b.ReadAge, b.ConfigVersion, b.TableDigest
		c.decodeTable(&u, b)
	}
	c.updates = append(c.updates, u)
	c.updateStale(at.Now, b.ReadAge, b.StoreAnswersOthers)
	c.updateUnproved(at, max(c.state.ProvedAt(), u.ProvedAt))
	if b.Instances > 0 {
		c.lastBulletinAt = at.Now // an answer without accounts comes from one that doesn't know of the role
		c.applyBulletinAccounts(at.Now, from, b)
	}
}

// applyBulletinAccounts passes the coordinator's accounts to the meter. The coordinator may
// have opened another ledger without this member noticing that the role was elsewhere.
func (c *Core) applyBulletinAccounts(now time.Time, from entity.InstanceID, b Bulletin) {
	if ledger := ledgerName(from, b.LedgerSeq); ledger != c.lastLedger {
		c.lastLedger = ledger
		c.state.LedgerChanged()
	}
	c.state.ApplyAccounts(now, b.Accounts, b.Instances)
}

// proofAge returns the age of the local proof, to be sent to others.
func (c *Core) proofAge(at Moment) time.Duration {
	proved := c.state.ProvedAt()
	if proved == 0 {
		return noProof
	}
	return at.Boot - proved
}

// provedAt returns the time of a proof of the given age that answers the message
// with the sequence number. The answer was created after the message was sent, so
// the result is no later than the proof.
func (c *Core) provedAt(seq uint64, age time.Duration) time.Duration {
	sent, ok := c.sentAt[seq]
	if !ok || age < 0 {
		return 0
	}
	return sent - age
}

// newestVersion returns the newest version that another instance is known to have if it is newer than the one in
// force, otherwise 0.
func (c *Core) newestVersion() int64 {
	if newest := c.state.NewestVersion(); newest > versionOf(c.state.Config()) {
		return newest
	}
	return 0
}

// recordVersions processes the version that another instance has, and the newest one that it knows of.
func (c *Core) recordVersions(now time.Time, from entity.InstanceID, has, newest int64) {
	c.state.RecordPeerVersion(now, from, max(has, newest))
}

func versionOf(cfg *catalog.Config) int64 {
	if cfg == nil {
		return 0
	}
	return cfg.Version
}

func (c *Core) send(to entity.InstanceID, msg any) {
	c.messages = append(c.messages, entity.Outgoing{Instance: to, Message: msg})
}
