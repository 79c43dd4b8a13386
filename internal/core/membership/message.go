package membership

import "github.com/medlarhold/medlarhold/internal/core/entity"

// Kind is the type of a protocol message.
type Kind uint8

// The message kinds.
const (
	// Ping requests an Ack from the receiver.
	Ping Kind = iota + 1
	// PingRequest asks the receiver to probe Target and to forward its Ack.
	PingRequest
	// Ack answers a Ping; with Target set it is the forwarded Ack of Target.
	Ack
	// Sync compares and exchanges rows; Round is the step of the exchange.
	Sync
)

// SyncRound is the step of a Sync exchange.
type SyncRound uint8

// The steps of a Sync exchange.
const (
	// SyncRequest contains the digests of all zones that the sender knows.
	SyncRequest SyncRound = iota
	// SyncReply contains the rows and digests of the zones whose digests differ.
	SyncReply
	// SyncRows contains rows only. It needs no answer.
	SyncRows
)

// Message is a protocol message.
type Message struct {
	Kind Kind `json:"k"`
	// Seq matches an Ack to its Ping or PingRequest.
	Seq uint64 `json:"s,omitempty"`
	// Target is the instance to probe in a PingRequest, and the probed instance in a forwarded Ack.
	Target entity.InstanceID `json:"t,omitempty"`
	Round  SyncRound         `json:"o,omitempty"`
	// Revision is the configuration revision in force at the sender.
	Revision int64 `json:"r,omitempty"`
	// Digest covers the sender's live rows of all zones.
	Digest uint64 `json:"d,omitempty"`
	// Digests are digests of single zones to compare.
	Digests []ZoneDigest `json:"z,omitempty"`
	// Agreed is set in an Ack if the Ping had zone digests and none of them differed.
	Agreed bool `json:"e,omitempty"`
	// Updates are piggybacked updates and, in a Sync, the exchanged rows.
	Updates []Update `json:"u,omitempty"`
}

// ZoneDigest is a digest of the live rows of one zone.
type ZoneDigest struct {
	Zone   entity.ZoneID `json:"z"`
	Digest uint64        `json:"d"`
	// Age is how many seconds ago the two sides last agreed on the zone, plus
	// a margin. Rows that changed before that need not be sent. Zero requests
	// all rows.
	Age int `json:"a,omitempty"`
}

// State is the state of an instance as its peers record it. Of two rows with
// the same incarnation, the one with the greater state wins.
type State uint8

// The instance states.
const (
	Alive State = iota
	Suspect
	Dead
)

// Update is one row of the instance table in its encoded form.
type Update struct {
	ID          entity.InstanceID `json:"n"`
	Zone        entity.ZoneID     `json:"z"`
	Region      entity.RegionID   `json:"g,omitempty"`
	PeerAddress string            `json:"a,omitempty"`
	Incarnation uint64            `json:"i,omitempty"`
	State       State             `json:"s,omitempty"`
	Leaving     bool              `json:"l,omitempty"`
	// Capacity is as in entity.Instance.
	Capacity int `json:"c,omitempty"`
	// Unreachable lists the zones to which the instance is a link and which it
	// can't reach.
	Unreachable []entity.ZoneID `json:"x,omitempty"`
}

// maxIncarnation bounds incarnations, so that each accepted one can be refuted
// by a higher one.
const maxIncarnation = 1 << 62

// valid reports whether the row may be merged into the table.
func (u *Update) valid() bool {
	return u.ID != "" && u.Zone != "" && u.State <= Dead && u.Incarnation < maxIncarnation
}

// updateOverheadBytes is the estimated encoded size of an Update without its strings.
const updateOverheadBytes = 40

// size returns the estimated encoded size in bytes.
func (u *Update) size() int {
	n := updateOverheadBytes + len(u.ID) + len(u.Zone) + len(u.Region) + len(u.PeerAddress)
	for _, z := range u.Unreachable {
		n += len(z) + 3
	}
	return n
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To entity.InstanceID
	// Address is the receiver's peer address, host:port. If it is empty, the
	// receiver can be reached only over a connection that is already open.
	Address string
	Message Message
}

// Ready is the output of the calls since the previous Ready. The caller owns it.
type Ready struct {
	Messages []Outgoing
	// Changed reports that View may differ from the previous one.
	Changed bool
	// Rejoined reports that this instance learned that a peer had declared it
	// dead, and has refuted that. Others may have taken over what it owned.
	Rejoined bool
}
