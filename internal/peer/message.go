package peer

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"reflect"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Cause is the cause of a message, by which its bytes are counted; it corresponds
// to telemetry.Cause.
type Cause int

// The causes of messages.
const (
	// CauseControl is for messages that are sent whether or not there are
	// requests.
	CauseControl Cause = iota
	// CauseRequest is for messages that are sent only because of a request.
	CauseRequest
)

// kind describes one type of message.
type kind struct {
	method string
	cause  Cause
	typ    reflect.Type
}

// Registry holds the types of the messages between instances, with the method
// names under which they are sent, and the causes of queries. It has no lock:
// types are registered before a Transport uses it.
type Registry struct {
	byType   map[reflect.Type]kind
	byMethod map[string]kind
	// queryCauses holds the causes of the registered queries, by method name.
	queryCauses map[string]Cause
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byType: make(map[reflect.Type]kind), byMethod: make(map[string]kind), queryCauses: make(map[string]Cause)}
}

// Register adds the message type T under a method name. Method names are short
// to save bytes.
func Register[T any](r *Registry, method string, cause Cause) {
	k := kind{method: method, cause: cause, typ: reflect.TypeFor[T]()}
	r.byType[k.typ] = k
	r.byMethod[method] = k
}

// RegisterQuery sets the cause of a query. Queries that are not registered have
// CauseControl.
func (r *Registry) RegisterQuery(method string, cause Cause) { r.queryCauses[method] = cause }

// causeOf returns the cause of a message or query. The handshake and unknown
// methods have CauseControl.
func (r *Registry) causeOf(method string) Cause {
	if k, ok := r.byMethod[method]; ok {
		return k.cause
	}
	return r.queryCauses[method]
}

// kindOf returns the kind of a message, or an error if its type is not
// registered.
func (r *Registry) kindOf(msg any) (kind, error) {
	k, ok := r.byType[reflect.TypeOf(msg)]
	if !ok {
		return kind{}, trace.BadParameter("no method is registered for messages of type %T", msg)
	}
	return k, nil
}

// decode returns the message that the parameters of a call of the method encode.
func (r *Registry) decode(method string, params []byte) (any, error) {
	k, ok := r.byMethod[method]
	if !ok {
		return nil, trace.BadParameter("unknown method %q", method)
	}
	v := reflect.New(k.typ)
	if err := json.Unmarshal(params, v.Interface()); err != nil {
		return nil, trace.BadParameter("method %s: %v", method, err)
	}
	return v.Elem().Interface(), nil
}

// Reservation is the wire form of entity.Reservation. The deadline is encoded as
// the remaining time, because the clocks of instances may differ.
type Reservation struct {
	ID            entity.RequestID  `json:"i"`
	From          entity.InstanceID `json:"f"`
	Seq           uint32            `json:"q,omitempty"`
	Org           entity.OrgID      `json:"o"`
	Pool          entity.PoolID     `json:"p"`
	Model         entity.ModelID    `json:"m,omitempty"`
	Adapter       entity.AdapterID  `json:"a,omitempty"`
	Tier          entity.Tier       `json:"t,omitempty"`
	Prefix        string            `json:"h,omitempty"` // little-endian hashes, base64
	PromptTokens  int               `json:"n,omitempty"`
	MaxTokens     int               `json:"x,omitempty"`
	RemainingMs   int64             `json:"d"`
	NonIdempotent bool              `json:"u,omitempty"`
	Resume        entity.EndpointID `json:"r,omitempty"`
	ShedRank      int               `json:"l,omitempty"`
	NoWait        bool              `json:"w,omitempty"`
}

// ToWire returns the wire form of a reservation that is sent at now.
func ToWire(now time.Time, r entity.Reservation) Reservation {
	w := r.Work
	return Reservation{
		ID: w.ID, From: r.From, Seq: r.Seq, Org: w.Org, Pool: w.Pool, Model: w.Model, Adapter: w.Adapter,
		Tier: w.Tier, Prefix: packHashes(w.Prefix), PromptTokens: w.PromptTokens, MaxTokens: w.MaxTokens,
		RemainingMs: w.Deadline.Sub(now).Milliseconds(), NonIdempotent: w.NonIdempotent, Resume: r.Resume,
		ShedRank: w.ShedRank, NoWait: r.NoWait,
	}
}

// FromWire returns the reservation whose wire form was received at now.
func FromWire(now time.Time, r Reservation) (entity.Reservation, error) {
	prefix, err := unpackHashes(r.Prefix)
	if err != nil {
		return entity.Reservation{}, trace.Wrap(err)
	}
	return entity.Reservation{
		Work: entity.Work{
			ID: r.ID, Org: r.Org, Pool: r.Pool, Model: r.Model, Adapter: r.Adapter, Tier: r.Tier,
			Prefix: prefix, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
			Deadline:      now.Add(time.Duration(r.RemainingMs) * time.Millisecond),
			NonIdempotent: r.NonIdempotent, ShedRank: r.ShedRank,
		},
		From: r.From, Seq: r.Seq, Resume: r.Resume, NoWait: r.NoWait,
	}, nil
}

// hashBytes is the size of one encoded block hash in bytes.
const hashBytes = 8

// packHashes encodes block hashes as the base64 of their little-endian bytes.
func packHashes(hashes []entity.BlockHash) string {
	if len(hashes) == 0 {
		return ""
	}
	b := make([]byte, 0, len(hashes)*hashBytes)
	for _, h := range hashes {
		b = binary.LittleEndian.AppendUint64(b, uint64(h))
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// unpackHashes reverses packHashes.
func unpackHashes(s string) ([]entity.BlockHash, error) {
	if s == "" {
		return nil, nil
	}
	b, err := base64.RawStdEncoding.DecodeString(s)
	if err != nil || len(b)%hashBytes != 0 {
		return nil, trace.BadParameter("prefix hashes are malformed")
	}
	hashes := make([]entity.BlockHash, 0, len(b)/hashBytes)
	for ; len(b) > 0; b = b[hashBytes:] {
		hashes = append(hashes, entity.BlockHash(binary.LittleEndian.Uint64(b)))
	}
	return hashes, nil
}
