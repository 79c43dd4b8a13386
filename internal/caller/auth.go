package caller

import (
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/callerapi"
	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// identity is who a caller proved to be, and what it asks for.
type identity struct {
	contract *config.Contract
	tier     entity.Tier
	tierName string
	deadline time.Time
	loseRank int
}

// bad returns a refusal for bad input: nothing was dispatched.
func bad(reason verdict.Reason, format string, args ...any) error {
	return verdict.New(verdict.NotRun, reason, 0, format, args...)
}

// identify proves the caller's organisation and reads the common headers.
func (s *Server) identify(r *http.Request, st config.State) (identity, error) {
	var id identity
	if ok, why := s.opts.Control.Serving(); !ok {
		return id, verdict.New(verdict.NotRun, verdict.ReasonNotReady, time.Second, "instance is not ready: %s", why)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return id, bad(verdict.ReasonUnauthenticated, "Authorization: Bearer with the organisation's key is required")
	}
	// The table is keyed by the hash: how long the look-up takes tells nothing
	// about a key that hashes to something else.
	if id.contract, ok = st.ContractByKeyHash(sha256.Sum256([]byte(key))); !ok {
		return id, bad(verdict.ReasonUnauthenticated, "unknown key")
	}
	if err := s.readTier(r, st, &id); err != nil {
		return id, trace.Wrap(err)
	}
	id.loseRank = loseRank(id.contract, r.Header.Get(callerapi.HeaderLabel))
	return id, trace.Wrap(s.readDeadline(r, &id))
}

func (s *Server) readTier(r *http.Request, st config.State, id *identity) error {
	id.tierName = r.Header.Get(callerapi.HeaderTier)
	if id.tierName == "" {
		id.tierName = id.contract.DefaultTier
	}
	for _, allowed := range id.contract.Tiers {
		if allowed != id.tierName {
			continue
		}
		if rank, ok := st.Tier(id.tierName); ok {
			id.tier = rank
			return nil
		}
	}
	return bad(verdict.ReasonTierNotAllowed, "tier %q is not in the contract, which allows %s",
		id.tierName, strings.Join(id.contract.Tiers, ", "))
}

func (s *Server) readDeadline(r *http.Request, id *identity) error {
	limit := s.opts.DefaultDeadline
	if h := r.Header.Get(callerapi.HeaderDeadlineMS); h != "" {
		ms, err := strconv.ParseInt(h, 10, 64)
		if err != nil || ms <= 0 {
			return bad(verdict.ReasonBadRequest, "%s must be a positive number of milliseconds", callerapi.HeaderDeadlineMS)
		}
		limit = time.Duration(min(ms, s.opts.MaxDeadline.Milliseconds())) * time.Millisecond
	}
	id.deadline = s.opts.Clock().Add(limit)
	return nil
}

// loseRank returns how early the organisation gives up work with this label:
// 0 for labels that its contract doesn't list, which go last.
func loseRank(c *config.Contract, label string) int {
	for i, l := range c.ShedOrder {
		if l == label {
			return len(c.ShedOrder) - i
		}
	}
	return 0
}
