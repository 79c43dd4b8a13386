package zone

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quota"
)

// Report is what a member tells the coordinator.
type Report struct {
	Seq uint64 `json:"n"`
	// Address is the member's peer address, which outlives its process.
	Address string                       `json:"a"`
	Used    map[entity.OrgID]quota.Usage `json:"u,omitempty"`
	// ConfigVersion and Endpoints say what the member has.
	ConfigVersion int64  `json:"c,omitempty"`
	TableDigest   uint64 `json:"e,omitempty"`
	// StoreUptime is how long the sender has read the store without an outage.
	StoreUptime time.Duration `json:"s,omitempty"`
	// StoreAnswerAge is how long ago the store has answered the sender itself,
	// negative for never.
	StoreAnswerAge time.Duration `json:"r"`
}

// Bulletin is the coordinator's answer to a report.
type Bulletin struct {
	// ReportSeq is the number of the report.
	ReportSeq uint64 `json:"n"`
	// ProofAge is how long ago the configuration of Version was proved the
	// newest, negative if it never was.
	ProofAge      time.Duration `json:"p"`
	ConfigVersion int64         `json:"v,omitempty"`
	// ReadAge is how long ago the coordinator last read discovery, negative if
	// it never has.
	ReadAge time.Duration `json:"a"`
	// Config, compressed, is set where the member has an older one, and so is
	// Endpoints, the whole table, or Changes, what has changed since its own.
	Config    []byte       `json:"c,omitempty"`
	Endpoints []byte       `json:"e,omitempty"`
	Changes   *TableChange `json:"d,omitempty"`
	// Cursors are where the coordinator stands in what the store tells, TableDigest is
	// the digest of its endpoints there.
	TableDigest uint64                         `json:"t,omitempty"`
	Cursors     Cursors                        `json:"s"`
	Accounts    map[entity.OrgID]quota.Account `json:"u,omitempty"`
	// Instances is how many instances the deployment has.
	Instances int `json:"i"`
}

// Cursors are positions in what the store tells.
type Cursors struct {
	Config    int64 `json:"c"`
	Endpoints int64 `json:"e"`
}

// Exchange is what the coordinators of two zones tell each other.
type Exchange struct {
	Zone entity.ZoneID `json:"z"`
	// LedgerSeq numbers the ledgers that the sender has opened: Used counts from
	// zero with each.
	LedgerSeq int    `json:"l,omitempty"`
	Seq       uint64 `json:"n"`
	// AckSeq is the number of the last exchange that came from the receiver.
	AckSeq   uint64        `json:"a,omitempty"`
	ProofAge time.Duration `json:"p"`
	// ConfigVersion is the sender's configuration; Config, compressed, is set where
	// the receiver has had an older one for a while.
	ConfigVersion int64                    `json:"v,omitempty"`
	Config        []byte                   `json:"c,omitempty"`
	Used          map[entity.OrgID]float64 `json:"u,omitempty"`
	Instances     int                      `json:"i"`
	// StoreUptime is how long the sender has read the store without an outage.
	StoreUptime time.Duration `json:"s,omitempty"`
	// StoreAnswerAge is how long ago the store has answered the sender itself,
	// negative for never.
	StoreAnswerAge time.Duration `json:"r"`
}
