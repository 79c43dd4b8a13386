package catalog

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// RouteKind states whether the requests of a route may be repeated.
type RouteKind string

// The kinds of route.
const (
	// KindSafe requests may run more than once.
	KindSafe RouteKind = "safe"
	// KindUnsafe requests may run at most once.
	KindUnsafe RouteKind = "unsafe"
	// KindStream requests are answered by a stream of events. They may run once,
	// unless the route is resumable.
	KindStream RouteKind = "stream"
)

// Route defines the destination and the rules for requests of one host and path
// prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Target is the latency objective: the time to the first event of a stream,
	// or to the complete answer.
	Target time.Duration
	// FirstEventWithin is how long callers wait for the first event of a stream
	// before they disconnect, 0 if only Timeout applies.
	FirstEventWithin time.Duration
	// Rank orders routes: 0 is the highest.
	Rank int
	// Pools lists the destinations with their weights.
	Pools []WeightedPool
	// MaxAttempts limits the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
}

// WeightedPool is one destination of a route.
type WeightedPool struct {
	Pool   entity.PoolID
	Weight int
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// ResumablePools returns the pools of the resumable streams, sorted.
func (c *Config) ResumablePools() []entity.PoolID {
	var out []entity.PoolID
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != KindStream || !r.Resumable {
			continue
		}
		for _, p := range r.Pools {
			out = append(out, p.Pool)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// PoolFor returns the destination of a request, chosen by a hash of its id: the
// same id always goes to the same pool.
func (r *Route) PoolFor(id entity.RequestID) entity.PoolID {
	if len(r.Pools) == 0 {
		return ""
	}
	total := 0
	for _, p := range r.Pools {
		total += p.Weight
	}
	if total <= 0 {
		return r.Pools[0].Pool
	}
	at := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, p := range r.Pools {
		if at -= p.Weight; at < 0 {
			return p.Pool
		}
	}
	return r.Pools[len(r.Pools)-1].Pool
}

// Pool describes a group of endpoints that serve the same requests.
type Pool struct {
	ID entity.PoolID
	// Kind distinguishes model engines, whose slots are scarce, from plain
	// services.
	Kind entity.EndpointKind
	// MaxConns limits the connections of one endpoint, counted over all
	// instances.
	MaxConns int
	// Slots is the number of requests that an endpoint runs at a time, 0 if not
	// stated.
	Slots int
	// KVTokens is the capacity of an engine's KV cache in tokens, 0 if not
	// stated.
	KVTokens int
	// TokensPerEvent is the number of tokens in one event of a stream, 0 if not
	// stated.
	TokensPerEvent int
}

// Organisation is a customer with its keys and its rate limit.
type Organisation struct {
	ID   entity.OrgID
	Keys []string
	// Rank, if set, replaces the route's rank.
	Rank *int
	// Limited is false for an organisation without a rate limit.
	Limited bool
	// Rate (per second) and Burst are the limit over all instances, in tokens if
	// CountsTokens is set, otherwise in requests.
	Rate, Burst  float64
	CountsTokens bool
	// PlainTokens is the cost of a request that states no number of tokens.
	PlainTokens int
}

// Weight returns the organisation's weight where organisations share too few slots: the rate of its
// contract in tokens, 0 if it has none that can be compared.
func (o *Organisation) Weight() float64 {
	if !o.Limited || !o.CountsTokens {
		return 0
	}
	return o.Rate
}

// Cost returns what a request is charged against the organisation's limit; stated
// reports whether the request states a number of tokens.
func (o *Organisation) Cost(tokens int, stated bool) float64 {
	switch {
	case !o.CountsTokens:
		return 1
	case stated:
		return float64(tokens)
	}
	return float64(o.PlainTokens)
}

// ClientBounds limit the size of a caller's request and the time it may take.
type ClientBounds struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// KeyRule states whether routes that are not public require a key. It doesn't follow from the number of
// organisations: if the last of them is removed, no key is valid any more.
type KeyRule string

// The key rules.
const (
	// KeysUnstated: it is not known, so keys are required.
	KeysUnstated KeyRule = ""
	// KeysRequired: the document lists organisations, maybe none.
	KeysRequired KeyRule = "required"
	// KeysNotUsed: the document has no list of organisations.
	KeysNotUsed KeyRule = "not_used"
)

// Config is one version of the operators' document.
type Config struct {
	Version int64
	Routes  []Route
	Pools   map[entity.PoolID]*Pool
	// Keys states whether callers need a key of one of the Organisations.
	Keys          KeyRule
	Organisations []Organisation
	Bounds        ClientBounds

	byHost map[string][]*Route // longest prefix first
	byKey  map[string]*Organisation
}

// Index builds the lookup tables. It must be called once, before the Config is
// shared.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.byKey = make(map[string]*Organisation)
	for i := range c.Organisations {
		for _, k := range c.Organisations[i].Keys {
			c.byKey[k] = &c.Organisations[i]
		}
	}
}

// Match returns the route of the host with the longest prefix of the path. A port
// in host is ignored.
func (c *Config) Match(host, path string) (*Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NeedsKeys reports whether routes that are not public require a key.
func (c *Config) NeedsKeys() bool { return c.Keys != KeysNotUsed }

// ByKey returns the organisation that holds a key.
func (c *Config) ByKey(key string) (*Organisation, bool) {
	o, ok := c.byKey[key]
	return o, ok
}

// PoolsOf returns the pools of a kind, sorted.
func (c *Config) PoolsOf(kind entity.EndpointKind) []entity.PoolID {
	var out []entity.PoolID
	for id, p := range c.Pools {
		if p.Kind == kind {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
