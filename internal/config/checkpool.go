package config

import (
	"slices"
	"strconv"
	"strings"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// check implements document.
func (p *Pool) check(s State) []fieldProblem {
	var out []fieldProblem
	if p.Kind != entity.KindEngine && p.Kind != entity.KindService {
		out = append(out, problemf("/kind", "must be %q or %q", entity.KindEngine, entity.KindService))
	}
	if old, ok := s.Pool(p.Name); ok && old.Kind != p.Kind {
		out = append(out, problemf("/kind", "can't be changed; create a new pool"))
	}
	if p.QueuePerEndpoint < 1 {
		out = append(out, problemf("/queue_per_endpoint", "must be at least 1"))
	}
	if p.MaxBodyBytes < 1 || p.MaxBodyBytes > MaxBodyBytes {
		out = append(out, problemf("/max_body_bytes", "must be from 1 to %d", MaxBodyBytes))
	}
	out = append(out, checkShare("/retry_budget", p.RetryBudget)...)
	if len(p.NonIdempotent) > 0 && p.Kind == entity.KindEngine {
		out = append(out, problemf("/non_idempotent", "may only be set for a pool of plain services"))
	}
	for i, c := range p.NonIdempotent {
		out = append(out, c.check("/non_idempotent/"+strconv.Itoa(i))...)
	}
	return out
}

// methods are the HTTP methods that a call pattern may name.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// check returns the problems of the pattern at the path.
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
