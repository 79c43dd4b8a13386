package config

import (
	"slices"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

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
		out = append(out, m.checkAdaptersOf(e, s)...)
	}
	return out
}

// checkAdaptersOf checks that each adapter of the endpoint is still an adapter
// of one of its models.
func (m *Model) checkAdaptersOf(e *entity.Endpoint, s State) []fieldProblem {
	offered := slices.Clone(m.Adapters)
	for _, id := range e.Models {
		if other, ok := s.Model(id); ok && id != m.Name {
			offered = append(offered, other.Adapters...)
		}
	}
	var out []fieldProblem
	for _, a := range e.Adapters {
		if !slices.Contains(offered, a) {
			out = append(out, problemf("/adapters", "endpoint %q serves adapter %q", e.ID, a))
		}
	}
	return out
}

// checkEnginePool checks that the pool exists and is a pool of engines.
func checkEnginePool(path string, s State, id entity.PoolID) []fieldProblem {
	p, ok := s.Pool(id)
	if !ok {
		return []fieldProblem{problemf(path, "pool %q does not exist", id)}
	}
	if p.Kind != entity.KindEngine {
		return []fieldProblem{problemf(path, "pool %q is not a pool of engines", id)}
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
