package membership

import "github.com/medlarhold/medlarhold/internal/core/entity"

// Kind tells the messages of the protocol apart.
type Kind uint8

// The kinds of message.
const (
	// Ping asks the receiver for an Ack.
	Ping Kind = iota + 1
	// PingRequest asks the receiver to probe Target and pass its Ack on.
	PingRequest
	// Ack answers a Ping; with Target set it is the passed-on Ack of Target.
	Ack
	// Sync compares and exchanges rows; Round says which step it is.
	Sync
)

// SyncRound is the step of a Sync exchange.
type SyncRound uint8

// The steps of a Sync exchange.
const (
	// SyncRequest carries the digests of all zones that the sender knows.
	SyncRequest SyncRound = iota
	// SyncReply carries the rows of the zones whose digests differ.
	SyncReply
	// SyncRows carries rows only and ends the exchange.
	SyncRows
)

// Message is one message of the protocol.
type Message struct {
	Kind Kind `json:"k"`
	// Seq matches an Ack to its Ping or PingRequest.
	Seq    uint64            `json:"s,omitempty"`
	Target entity.InstanceID `json:"t,omitempty"`
	Round  SyncRound         `json:"o,omitempty"`
	// Revision is the configuration revision that the sender has in force.
	Revision int64 `json:"r,omitempty"`
	// Digest covers the live rows of all zones as the sender has them.
	Digest  uint64       `json:"d,omitempty"`
	Digests []ZoneDigest `json:"z,omitempty"`
	// Agreed says, in an Ack, that no digest of the Ping differed.
	Agreed  bool     `json:"e,omitempty"`
	Updates []Update `json:"u,omitempty"`
}

// ZoneDigest covers the live rows of one zone.
type ZoneDigest struct {
	Zone   entity.ZoneID `json:"z"`
	Digest uint64        `json:"d"`
	// Age is how many seconds ago the two sides last agreed on the zone, with
	// a margin: older rows need not be sent. Zero asks for all rows.
	Age int `json:"a,omitempty"`
}

// State is what is believed of an instance. At the same incarnation the
// greater state wins.
type State uint8

// The states of an instance.
const (
	Alive State = iota
	Suspect
	Dead
)

// Update is one row of the table as it travels.
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
	// Unreachable lists the zones that the instance can't reach as a link.
	Unreachable []entity.ZoneID `json:"x,omitempty"`
}

// maxIncarnation bounds incarnations, so that each can be refuted by a higher one.
const maxIncarnation = 1 << 62

// valid reports whether the row may be taken in.
func (u *Update) valid() bool {
	return u.ID != "" && u.Zone != "" && u.State <= Dead && u.Incarnation < maxIncarnation
}

// updateOverheadBytes is the encoded size of an Update besides its strings.
const updateOverheadBytes = 40

// size estimates the encoded size in bytes.
func (u *Update) size() int {
	n := updateOverheadBytes + len(u.ID) + len(u.Zone) + len(u.Region) + len(u.PeerAddress)
	for _, z := range u.Unreachable {
		n += len(z) + 3
	}
	return n
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To      entity.InstanceID
	Address string
	Message Message
}

// Ready is what is to be done after a step. The caller owns it.
type Ready struct {
	Messages []Outgoing
	// Changed says that View differs from the one before.
	Changed bool
	// Rejoined says that the instance found out that its peers had declared
	// it dead, and has refuted: others may have taken over what it owned.
	Rejoined bool
}
