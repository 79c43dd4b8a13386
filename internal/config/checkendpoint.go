package config

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

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

// checkSpeed checks an estimate of tokens per second.
func checkSpeed(path string, v float64) []fieldProblem {
	if v >= 0 && !math.IsInf(v, 0) {
		return nil
	}
	return []fieldProblem{problemf(path, "must not be negative")}
}

// checkService checks the requirements of a plain service.
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

// checkAddress checks that the address has the form host:port.
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
