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
	// urgentInterval is the least time between two of either while much is used.
	urgentInterval = 40 * time.Millisecond
	// keepSent bounds the reports whose times are remembered.
	keepSent = 64
)

// noProof is the ProofAge of whoever has no proof.
const noProof = time.Duration(-1)

// LocalState is what the instance holds to be in force.
type LocalState interface {
	Config() *catalog.Config
	Endpoints() *catalog.Endpoints
	// ProvedAt is when the configuration was last proved the newest, on the
	// clock of Moment.Boot; 0 for never.
	ProvedAt() time.Duration
	// ReadAge is how long ago discovery was last read, by this instance or by
	// the one it was learned from; negative for never.
	ReadAge(now time.Time) time.Duration
	// StoreAnswerAge is how long ago the store has answered this instance itself,
	// negative for never.
	StoreAnswerAge(now time.Time) time.Duration
	Cursors() Cursors
	// StoreUptime is how long the store has been read without an outage; Witness
	// takes in how long another instance has.
	StoreUptime(now time.Time) time.Duration
	RecordPeerStoreUptime(now time.Time, steady time.Duration)
	// Limits returns the limits in force.
	Limits() map[entity.OrgID]quota.Limit
	// Used, Urgent and Adopt speak to the instance's meter.
	Used() map[entity.OrgID]quota.Usage
	Urgent() bool
	ApplyAccounts(now time.Time, accounts map[entity.OrgID]quota.Account, instances int)
	// HandoverLevel is what a new ledger's bucket of an organisation begins with.
	HandoverLevel(now time.Time, org entity.OrgID, l quota.Limit) float64
}

// Moment is the present on two clocks.
type Moment struct {
	Now time.Time
	// Boot goes on while the machine is suspended.
	Boot time.Duration
}

// Update is what was learned from other instances.
type Update struct {
	Config *catalog.Config
	// Endpoints is the whole table, empty where it was not told. Changes is what
	// has changed since the table of the digest ChangedFrom.
	Endpoints  []catalog.Endpoint
	Changes    []catalog.Change
	BaseDigest uint64
	// Cursors come with each bulletin. They go with the configuration of Version
	// and the endpoints whose digest is Table.
	Cursors     *Cursors
	Version     int64
	TableDigest uint64
	// ProvedAt is a proof of the configuration, 0 for none.
	ProvedAt time.Duration
	// ReadAge is the age of the endpoints and cursors.
	ReadAge time.Duration
	From    entity.InstanceID
	// DecodeErr is set where the sender's configuration or table could not be read.
	DecodeErr error
}

// Core is one instance's part in its zone.
type Core struct {
	self  entity.Instance
	knows LocalState

	coordinator entity.InstanceID
	others      map[entity.ZoneID]entity.InstanceID
	zoneSize    int
	ledger      *quota.Ledger
	// ledgers is how many were opened, limitsOf the configuration whose limits
	// the present one has.
	ledgers  int
	limitsOf *catalog.Config

	number   uint64
	sent     map[uint64]time.Duration
	lastSend time.Time
	heardAt  time.Time
	// staleSince is set while the coordinator's own reads are out of date.
	staleSince time.Time
	// lag is how much longer than others this member waits before it reads.
	lag time.Duration
	// othersAnswered is when the store last answered another instance, as far as
	// told, and coordinatesSince since when this one reads for its zone.
	othersAnswered, coordinatesSince time.Time
	exchanged                        map[entity.ZoneID]*otherZone
	// packed is the own configuration, encoded for others; history is of the own
	// table. Those that were sent either whole lately are in configs and tables.
	packed          packed
	history         tableHistory
	configs, tables offers

	messages []entity.Outgoing
	news     []Update
}

// New returns a Core that knows no coordinator.
func New(self entity.Instance, k LocalState) *Core {
	return &Core{
		self: self, knows: k, sent: make(map[uint64]time.Duration), exchanged: make(map[entity.ZoneID]*otherZone),
		configs: make(offers), tables: make(offers), lag: lagOf(self.ID),
	}
}

// Ready returns messages and news since the last call, in order.
func (c *Core) Ready() ([]entity.Outgoing, []Update) {
	m, n := c.messages, c.news
	c.messages, c.news = nil, nil
	return m, n
}

// SetCoordinators names the coordinator of the zone and those of the others,
// and how many members the zone has.
func (c *Core) SetCoordinators(own entity.InstanceID, others map[entity.ZoneID]entity.InstanceID, zoneSize int) {
	c.coordinator, c.others, c.zoneSize = own, others, max(1, zoneSize)
	if !c.IsCoordinator() {
		c.ledger = nil
	} else if c.ledger == nil {
		c.ledger, c.limitsOf = quota.NewLedger(c.knows.HandoverLevel), nil
		c.ledgers++
	}
}

// IsCoordinator says whether this instance is the coordinator of its zone.
func (c *Core) IsCoordinator() bool { return c.coordinator == c.self.ID }

// Tick sends what is due.
func (c *Core) Tick(at Moment) {
	c.noteRole(at.Now)
	if !c.due(at.Now) {
		return
	}
	c.lastSend = at.Now
	c.configs.forget(at.Now)
	c.tables.forget(at.Now)
	if !c.IsCoordinator() {
		if c.coordinator != "" {
			c.send(c.coordinator, c.report(at))
		}
		return
	}
	c.limited().HandleMemberReport(at.Now, c.party(c.self.ID, c.self.PeerAddress), c.knows.Used())
	c.adopt(at.Now)
	for _, z := range slices.Sorted(maps.Keys(c.others)) {
		c.send(c.others[z], c.exchange(at, z))
	}
}

// due says whether it is time to speak: sooner while much is used of a limit.
func (c *Core) due(now time.Time) bool {
	interval, urgent := ReportInterval, c.knows.Urgent()
	if c.IsCoordinator() {
		interval, urgent = ExchangeInterval, urgent || c.ledger.Urgent()
	}
	if urgent {
		interval = urgentInterval
	}
	return now.Sub(c.lastSend) >= interval
}

// limited returns the ledger with the limits in force.
func (c *Core) limited() *quota.Ledger {
	if cfg := c.knows.Config(); cfg != c.limitsOf {
		c.ledger.SetLimits(c.knows.Limits())
		c.limitsOf = cfg
	}
	return c.ledger
}

// adopt gives the own meter the coordinator's word.
func (c *Core) adopt(now time.Time) {
	c.knows.ApplyAccounts(now, c.ledger.Accounts(now, c.self.PeerAddress), c.ledger.Instances(now))
}

func (c *Core) party(id entity.InstanceID, address string) quota.Reporter {
	return quota.Reporter{Name: address, Process: id, Instances: 1}
}

// next numbers a message whose answer will carry a proof.
func (c *Core) next(at Moment) uint64 {
	c.number++
	c.sent[c.number] = at.Boot
	delete(c.sent, c.number-keepSent)
	return c.number
}

func (c *Core) report(at Moment) Report {
	return Report{
		Seq: c.next(at), Address: c.self.PeerAddress, Used: c.knows.Used(),
		ConfigVersion: versionOf(c.knows.Config()), TableDigest: c.knows.Endpoints().Digest(),
		StoreUptime: c.knows.StoreUptime(at.Now), StoreAnswerAge: c.knows.StoreAnswerAge(at.Now),
	}
}

// HandleReport answers a member. One that takes this instance for the coordinator
// before it does so itself is answered all the same, but for the accounts.
func (c *Core) HandleReport(at Moment, from entity.InstanceID, r Report) {
	c.knows.RecordPeerStoreUptime(at.Now, r.StoreUptime)
	c.noteAnswered(at.Now, r.StoreAnswerAge)
	b := Bulletin{ReportSeq: r.Seq, ProofAge: c.proofAge(at), ConfigVersion: versionOf(c.knows.Config()), ReadAge: c.knows.ReadAge(at.Now), Cursors: c.knows.Cursors()}
	if cfg := c.knows.Config(); versionOf(cfg) > r.ConfigVersion && c.configs.due(at.Now, from, uint64(cfg.Version)) {
		b.Config = c.packed.bytes(cfg)
	}
	b.TableDigest = c.knows.Endpoints().Digest()
	b.Endpoints, b.Changes = c.tableFor(at.Now, from, r.TableDigest)
	if c.ledger != nil {
		c.limited().HandleMemberReport(at.Now, c.party(from, r.Address), r.Used)
		b.Accounts = c.ledger.Accounts(at.Now, r.Address)
		b.Instances = c.ledger.Instances(at.Now)
	}
	c.send(from, b)
}

// HandleBulletin takes in the coordinator's answer.
func (c *Core) HandleBulletin(at Moment, from entity.InstanceID, b Bulletin) {
	if from != c.coordinator {
		return
	}
	n := Update{From: from}
	n.Config, n.DecodeErr = unpack(b.Config)
	if held := max(versionOf(c.knows.Config()), versionOf(n.Config)); b.ConfigVersion <= held {
		n.ProvedAt = c.provedAt(b.ReportSeq, b.ProofAge)
	}
	if own := c.knows.ReadAge(at.Now); b.ReadAge >= 0 && (own < 0 || b.ReadAge <= own) {
		n.Cursors, n.ReadAge, n.Version, n.TableDigest = &b.Cursors, b.ReadAge, b.ConfigVersion, b.TableDigest
		c.readTable(&n, b)
	}
	c.heardAt = at.Now
	c.noteStale(at.Now, b.ReadAge)
	c.news = append(c.news, n)
	if b.Instances > 0 {
		c.knows.ApplyAccounts(at.Now, b.Accounts, b.Instances)
	}
}

// proofAge is what others are told of the age of the own proof.
func (c *Core) proofAge(at Moment) time.Duration {
	proved := c.knows.ProvedAt()
	if proved == 0 {
		return noProof
	}
	return at.Boot - proved
}

// provedAt turns the age of a proof that answers a message into a time: the
// answer was given after the message was sent.
func (c *Core) provedAt(answers uint64, age time.Duration) time.Duration {
	sent, ok := c.sent[answers]
	if !ok || age < 0 {
		return 0
	}
	return sent - age
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
