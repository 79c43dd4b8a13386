package config

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// document is the decoded spec of an object.
type document interface {
	// name returns the name in the spec, or "" if the spec has none.
	name() string
	// setName sets the document's name to that of its object.
	setName(string)
	// check returns the problems that the document would have in the given state.
	check(State) []fieldProblem
	// checkDelete returns the reasons why the document can't be deleted from the given state.
	checkDelete(State) []fieldProblem
}

// newDocument returns an empty document of the kind, or nil if the kind is unknown.
func newDocument(k Kind) document {
	switch k {
	case KindContract:
		return &Contract{}
	case KindPool:
		return &Pool{}
	case KindEndpoint:
		return &Endpoint{}
	case KindModel:
		return &Model{}
	case KindDeployment:
		return &Deployment{}
	default:
		return nil
	}
}

// decodeDocument decodes the spec of an object. It ignores unknown fields, so
// that instances of different versions can read the same log.
func decodeDocument(k Kind, name string, spec json.RawMessage) (document, error) {
	doc := newDocument(k)
	if doc == nil {
		return nil, trace.BadParameter("unknown kind %q", k)
	}
	if err := json.Unmarshal(spec, doc); err != nil {
		return nil, trace.BadParameter("spec can't be decoded: %v", err)
	}
	if specName := doc.name(); specName != "" && specName != name {
		return nil, trace.BadParameter("name in the spec is %q, but the object is named %q", specName, name)
	}
	doc.setName(name)
	return doc, nil
}

// sameDocument reports whether two documents have the same JSON encoding.
func sameDocument(a, b document) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

func (c *Contract) name() string   { return string(c.Organisation) }
func (p *Pool) name() string       { return string(p.Name) }
func (e *Endpoint) name() string   { return string(e.Name) }
func (m *Model) name() string      { return string(m.Name) }
func (d *Deployment) name() string { return "" }

func (c *Contract) setName(n string)   { c.Organisation = entity.OrgID(n) }
func (p *Pool) setName(n string)       { p.Name = entity.PoolID(n) }
func (e *Endpoint) setName(n string)   { e.Name = entity.EndpointID(n) }
func (m *Model) setName(n string)      { m.Name = entity.ModelID(n) }
func (d *Deployment) setName(_ string) {}

// Entity returns the endpoint as a row of the endpoint table. kind is the kind
// of the endpoint's pool.
func (e *Endpoint) Entity(kind entity.EndpointKind) entity.Endpoint {
	return entity.Endpoint{
		ID:                  e.Name,
		Pool:                e.Pool,
		Zone:                e.Zone,
		Kind:                kind,
		Address:             e.Address,
		Models:              e.Models,
		Adapters:            e.Adapters,
		Slots:               e.Slots,
		KVTokens:            e.KVTokens,
		WeightBytes:         e.WeightBytes,
		Generation:          e.Generation,
		PrefillTokensPerSec: e.PrefillTokensPerSec,
		DecodeTokensPerSec:  e.DecodeTokensPerSec,
		ChecksFencing:       e.ChecksFencing,
		Leaving:             e.Leaving,
	}
}
