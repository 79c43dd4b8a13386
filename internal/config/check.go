package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"math"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Bounds of what a document may say.
const (
	// DeploymentName is the name of the one deployment object.
	DeploymentName = "default"
	// MaxTiers bounds the tiers of a deployment.
	MaxTiers = 16
	// MaxKeys bounds the keys of one organisation.
	MaxKeys = 16
	// MaxListed bounds any list of names.
	MaxListed = 256
	// MaxLabels bounds the work labels of one organisation.
	MaxLabels = 32
	// MaxBodyBytes bounds what a pool may allow for a request's body.
	MaxBodyBytes = 64 << 20
	// MaxSlots bounds the requests that run on an endpoint at the same time.
	MaxSlots = 4096
)

// namePattern is what names of objects, tiers and zones look like.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// checkName returns a problem if the name can't be one.
func checkName(path, name string) []fieldProblem {
	if namePattern.MatchString(name) {
		return nil
	}
	return []fieldProblem{problemf(path, "%q is no name: letters, digits, '.', '_' and '-', at most 64", abbreviate(name))}
}

// checkList checks that the names are names and that none stands twice.
func checkList[T ~string](path string, names []T) []fieldProblem {
	if len(names) > MaxListed {
		return []fieldProblem{problemf(path, "at most %d names", MaxListed)}
	}
	var out []fieldProblem
	for i, n := range names {
		at := path + "/" + strconv.Itoa(i)
		out = append(out, checkName(at, string(n))...)
		if slices.Contains(names[:i], n) {
			out = append(out, problemf(at, "%q stands twice", n))
		}
	}
	return out
}

// check implements document.
func (d *Deployment) check(s State) []fieldProblem {
	out := checkList("/tiers", d.Tiers)
	if len(d.Tiers) == 0 || len(d.Tiers) > MaxTiers {
		out = append(out, problemf("/tiers", "must name 1 to %d tiers", MaxTiers))
	}
	out = append(out, checkShare("/scores/goodput", d.Scores.Goodput)...)
	out = append(out, checkShare("/scores/wasted_prefill", d.Scores.WastedPrefill)...)
	for _, t := range s.Deployment().Tiers {
		if slices.Contains(d.Tiers, t) {
			continue
		}
		if org, used := s.tierUser(t); used {
			out = append(out, problemf("/tiers", "tier %q is used by the contract of %q", t, org))
		}
	}
	return out
}

// checkDelete implements document.
func (d *Deployment) checkDelete(State) []fieldProblem {
	return []fieldProblem{problemf("", "the deployment can't be deleted")}
}

// checkShare checks a number from 0 to 1.
func checkShare(path string, v float64) []fieldProblem {
	if v >= 0 && v <= 1 {
		return nil
	}
	return []fieldProblem{problemf(path, "must be from 0 to 1")}
}

// check implements document.
func (p *Pool) check(s State) []fieldProblem {
	var out []fieldProblem
	if p.Kind != entity.KindEngine && p.Kind != entity.KindService {
		out = append(out, problemf("/kind", "must be %q or %q", entity.KindEngine, entity.KindService))
	}
	if old, ok := s.Pool(p.Name); ok && old.Kind != p.Kind {
		out = append(out, problemf("/kind", "can't be changed; make a new pool"))
	}
	if p.QueuePerEndpoint < 1 {
		out = append(out, problemf("/queue_per_endpoint", "must be at least 1"))
	}
	if p.MaxBodyBytes < 1 || p.MaxBodyBytes > MaxBodyBytes {
		out = append(out, problemf("/max_body_bytes", "must be from 1 to %d", MaxBodyBytes))
	}
	out = append(out, checkShare("/retry_budget", p.RetryBudget)...)
	if len(p.NonIdempotent) > 0 && p.Kind == entity.KindEngine {
		out = append(out, problemf("/non_idempotent", "only calls of plain services are listed"))
	}
	for i, c := range p.NonIdempotent {
		out = append(out, c.check("/non_idempotent/"+strconv.Itoa(i))...)
	}
	return out
}

// methods are the HTTP methods that a call pattern may name.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// check returns what is wrong with the pattern at the path.
func (c CallPattern) check(path string) []fieldProblem {
	var out []fieldProblem
	if !slices.Contains(methods, c.Method) {
		out = append(out, problemf(path+"/method", "must be one of %s", strings.Join(methods, ", ")))
	}
	if !strings.HasPrefix(c.PathPrefix, "/") {
		out = append(out, problemf(path+"/path_prefix", "must begin with /"))
	}
	return out
}

// checkDelete implements document.
func (p *Pool) checkDelete(s State) []fieldProblem {
	if eps := s.Endpoints(p.Name); len(eps) > 0 {
		return []fieldProblem{problemf("", "endpoint %q is still in the pool", eps[0].ID)}
	}
	for m := range s.Models() {
		if m.Pool == p.Name {
			return []fieldProblem{problemf("", "model %q is still in the pool", m.Name)}
		}
	}
	return nil
}

// check implements document.
func (m *Model) check(s State) []fieldProblem {
	out := checkList("/adapters", m.Adapters)
	out = append(out, checkEnginePool("/pool", s, m.Pool)...)
	if m.MinCopies < 0 {
		out = append(out, problemf("/min_copies", "must not be negative"))
	}
	for _, e := range s.AllEndpoints() {
		if !slices.Contains(e.Models, m.Name) {
			continue
		}
		if e.Pool != m.Pool {
			out = append(out, problemf("/pool", "endpoint %q of pool %q serves the model", e.ID, e.Pool))
		}
	}
	return out
}

// checkEnginePool checks that the pool exists and is one of engines.
func checkEnginePool(path string, s State, id entity.PoolID) []fieldProblem {
	p, ok := s.Pool(id)
	if !ok {
		return []fieldProblem{problemf(path, "pool %q does not exist", id)}
	}
	if p.Kind != entity.KindEngine {
		return []fieldProblem{problemf(path, "pool %q is not one of engines", id)}
	}
	return nil
}

// checkDelete implements document.
func (m *Model) checkDelete(s State) []fieldProblem {
	for _, e := range s.AllEndpoints() {
		if slices.Contains(e.Models, m.Name) {
			return []fieldProblem{problemf("", "endpoint %q still serves the model", e.ID)}
		}
	}
	return nil
}

// check implements document.
func (e *Endpoint) check(s State) []fieldProblem {
	out := checkName("/zone", string(e.Zone))
	out = append(out, checkAddress("/address", e.Address)...)
	if e.Slots < 1 || e.Slots > MaxSlots {
		out = append(out, problemf("/slots", "must be from 1 to %d", MaxSlots))
	}
	if e.KVTokens < 0 {
		out = append(out, problemf("/kv_tokens", "must not be negative"))
	}
	if e.WeightBytes < 0 {
		out = append(out, problemf("/weight_bytes", "must not be negative"))
	}
	out = append(out, checkSpeed("/prefill_tokens_per_sec", e.PrefillTokensPerSec)...)
	out = append(out, checkSpeed("/decode_tokens_per_sec", e.DecodeTokensPerSec)...)
	p, ok := s.Pool(e.Pool)
	switch {
	case !ok:
		out = append(out, problemf("/pool", "pool %q does not exist", e.Pool))
	case p.Kind == entity.KindService:
		out = append(out, e.checkService()...)
	default:
		out = append(out, e.checkEngine(s)...)
	}
	return out
}

// checkSpeed checks an estimate of tokens a second.
func checkSpeed(path string, v float64) []fieldProblem {
	if v >= 0 && !math.IsInf(v, 0) {
		return nil
	}
	return []fieldProblem{problemf(path, "must not be negative")}
}

// checkService checks what only plain services must have.
func (e *Endpoint) checkService() []fieldProblem {
	if len(e.Models) > 0 || len(e.Adapters) > 0 {
		return []fieldProblem{problemf("/models", "a plain service has no models or adapters")}
	}
	return nil
}

// checkEngine checks the models and adapters of an engine.
func (e *Endpoint) checkEngine(s State) []fieldProblem {
	out := checkList("/models", e.Models)
	out = append(out, checkList("/adapters", e.Adapters)...)
	var offered []entity.AdapterID
	for i, id := range e.Models {
		m, ok := s.Model(id)
		switch {
		case !ok:
			out = append(out, problemf(fmt.Sprintf("/models/%d", i), "model %q does not exist", id))
		case m.Pool != e.Pool:
			out = append(out, problemf(fmt.Sprintf("/models/%d", i), "model %q is in pool %q", id, m.Pool))
		default:
			offered = append(offered, m.Adapters...)
		}
	}
	for i, a := range e.Adapters {
		if !slices.Contains(offered, a) {
			out = append(out, problemf(fmt.Sprintf("/adapters/%d", i), "no model of the endpoint has adapter %q", a))
		}
	}
	return out
}

// checkAddress checks host:port.
func checkAddress(path, addr string) []fieldProblem {
	host, port, err := net.SplitHostPort(addr)
	if err == nil && host != "" {
		if n, err := strconv.ParseUint(port, 10, 16); err == nil && n > 0 {
			return nil
		}
	}
	return []fieldProblem{problemf(path, "%q is not host:port", abbreviate(addr))}
}

// checkDelete implements document.
func (e *Endpoint) checkDelete(State) []fieldProblem { return nil }

// check implements document.
func (c *Contract) check(s State) []fieldProblem {
	out := c.checkTiers(s)
	if !(c.RequestsPerSec > 0) || math.IsInf(c.RequestsPerSec, 0) {
		out = append(out, problemf("/requests_per_sec", "must be more than 0"))
	}
	if c.Burst < 1 {
		out = append(out, problemf("/burst", "must be at least 1"))
	}
	if c.MaxConcurrent < 1 {
		out = append(out, problemf("/max_concurrent", "must be at least 1"))
	}
	out = append(out, checkList("/lose_first", c.LoseFirst)...)
	if len(c.LoseFirst) > MaxLabels {
		out = append(out, problemf("/lose_first", "at most %d labels", MaxLabels))
	}
	return append(out, c.checkKeys(s)...)
}

// checkTiers checks the tiers that the contract names.
func (c *Contract) checkTiers(s State) []fieldProblem {
	out := checkList("/tiers", c.Tiers)
	if len(c.Tiers) == 0 {
		out = append(out, problemf("/tiers", "must name at least one tier"))
	}
	for i, t := range c.Tiers {
		if _, ok := s.Tier(t); !ok {
			out = append(out, problemf(fmt.Sprintf("/tiers/%d", i), "the deployment has no tier %q", t))
		}
	}
	if c.DefaultTier != "" && !slices.Contains(c.Tiers, c.DefaultTier) {
		out = append(out, problemf("/default_tier", "%q is not among the contract's tiers", c.DefaultTier))
	}
	return out
}

// checkKeys checks the hashes of the contract's keys.
func (c *Contract) checkKeys(s State) []fieldProblem {
	var out []fieldProblem
	if len(c.KeyHashes) > MaxKeys {
		out = append(out, problemf("/key_hashes", "at most %d keys", MaxKeys))
	}
	for i, h := range c.KeyHashes {
		at := "/key_hashes/" + strconv.Itoa(i)
		sum, ok := parseKeyHash(h)
		if !ok {
			out = append(out, problemf(at, "must be the SHA-256 of a key, 64 lower-case hex digits"))
			continue
		}
		if slices.Contains(c.KeyHashes[:i], h) {
			out = append(out, problemf(at, "key stands twice"))
		}
		if other, ok := s.ContractByKeyHash(sum); ok && other.Organisation != c.Organisation {
			out = append(out, problemf(at, "key belongs to %q", other.Organisation))
		}
	}
	return out
}

// checkDelete implements document.
func (c *Contract) checkDelete(State) []fieldProblem { return nil }

// parseKeyHash decodes the hash of a key.
func parseKeyHash(s string) ([sha256.Size]byte, bool) {
	var sum [sha256.Size]byte
	var digits [2 * sha256.Size]byte
	if len(s) != len(digits) || strings.ToLower(s) != s {
		return sum, false
	}
	copy(digits[:], s)
	_, err := hex.Decode(sum[:], digits[:])
	return sum, err == nil
}

// hasKeyHash says whether the contract holds the key with that hash. It
// compares all of the contract's keys in constant time.
func (c *Contract) hasKeyHash(sum [sha256.Size]byte) bool {
	found := 0
	for _, h := range c.KeyHashes {
		own, _ := parseKeyHash(h)
		found |= subtle.ConstantTimeCompare(own[:], sum[:])
	}
	return found == 1
}
