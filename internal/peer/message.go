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

// Class says what caused a message, for the accounting of control traffic.
type Class int

// The classes of message.
const (
	// ClassControl is traffic that no request caused.
	ClassControl Class = iota
	// ClassRequest rides on a request: without the request there is no message.
	ClassRequest
)

// kind is one type of message on the wire.
type kind struct {
	method string
	class  Class
	typ    reflect.Type
}

// Registry knows the types of message that travel between instances.
type Registry struct {
	byType   map[reflect.Type]kind
	byMethod map[string]kind
	// queries are the questions whose class is not ClassControl.
	queries map[string]Class
}

// NewRegistry returns a registry without messages.
func NewRegistry() *Registry {
	return &Registry{byType: make(map[reflect.Type]kind), byMethod: make(map[string]kind), queries: make(map[string]Class)}
}

// Register adds the type T under a method name; short names save bytes.
func Register[T any](r *Registry, method string, class Class) {
	k := kind{method: method, class: class, typ: reflect.TypeFor[T]()}
	r.byType[k.typ] = k
	r.byMethod[method] = k
}

// RegisterQuery says what causes a question, which travels beside the messages.
func (r *Registry) RegisterQuery(method string, class Class) { r.queries[method] = class }

// classOf returns what causes a message or question; the handshake and what
// is unknown count as control.
func (r *Registry) classOf(method string) Class {
	if k, ok := r.byMethod[method]; ok {
		return k.class
	}
	return r.queries[method]
}

// kindOf returns the wire kind of a message.
func (r *Registry) kindOf(msg any) (kind, error) {
	k, ok := r.byType[reflect.TypeOf(msg)]
	if !ok {
		return kind{}, trace.BadParameter("no wire form for %T", msg)
	}
	return k, nil
}

// decode reads a message of the method from its parameters.
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

// Reservation is the wire form of entity.Reservation. The deadline travels as
// a remaining time, since the clocks of instances need not agree.
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

// ToWire returns the wire form of a reservation at the time it is sent.
func ToWire(now time.Time, r entity.Reservation) Reservation {
	w := r.Work
	return Reservation{
		ID: w.ID, From: r.From, Seq: r.Seq, Org: w.Org, Pool: w.Pool, Model: w.Model, Adapter: w.Adapter,
		Tier: w.Tier, Prefix: packHashes(w.Prefix), PromptTokens: w.PromptTokens, MaxTokens: w.MaxTokens,
		RemainingMs: w.Deadline.Sub(now).Milliseconds(), NonIdempotent: w.NonIdempotent, Resume: r.Resume,
		ShedRank: w.ShedRank, NoWait: r.NoWait,
	}
}

// FromWire returns the reservation as of the time it was received.
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

// hashBytes is the size of one block hash on the wire.
const hashBytes = 8

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
