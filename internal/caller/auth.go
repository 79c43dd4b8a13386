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

// identity holds the authenticated contract of a caller and the common attributes of its request.
type identity struct {
	contract *config.Contract
	tier     entity.Tier
	tierName string
	deadline time.Time
	shedRank int
}

// inputError returns a refusal for invalid input. Its verdict is NotRun.
func inputError(reason verdict.Reason, format string, args ...any) error {
	return verdict.New(verdict.NotRun, reason, 0, format, args...)
}

// identify authenticates the caller's organisation by its key and reads the common
// headers. It fails if the instance is not ready.
func (s *Server) identify(r *http.Request, st config.State) (identity, error) {
	var id identity
	if ok, reason := s.opts.Control.Serving(); !ok {
		return id, verdict.New(verdict.NotRun, verdict.ReasonNotReady, time.Second, "instance is not ready: %s", reason)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return id, inputError(verdict.ReasonUnauthenticated, "Authorization: Bearer with the organisation's key is required")
	}
	// The table is keyed by hash, so that the duration of a lookup reveals
	// nothing about the keys in it.
	if id.contract, ok = st.ContractByKeyHash(sha256.Sum256([]byte(key))); !ok {
		return id, inputError(verdict.ReasonUnauthenticated, "unknown key")
	}
	if err := s.readTier(r, st, &id); err != nil {
		return id, trace.Wrap(err)
	}
	id.shedRank = shedRank(id.contract, r.Header.Get(callerapi.HeaderLabel))
	return id, trace.Wrap(s.readDeadline(r, &id))
}

// readTier reads the tier, or takes the default one, and checks that the contract
// allows it.
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
	return inputError(verdict.ReasonTierNotAllowed, "tier %q is not in the contract, which allows %s",
		id.tierName, strings.Join(id.contract.Tiers, ", "))
}

// readDeadline sets the deadline from the header or the default, limited to
// MaxDeadline from now.
func (s *Server) readDeadline(r *http.Request, id *identity) error {
	limit := s.opts.DefaultDeadline
	if h := r.Header.Get(callerapi.HeaderDeadlineMs); h != "" {
		ms, err := strconv.ParseInt(h, 10, 64)
		if err != nil || ms <= 0 {
			return inputError(verdict.ReasonBadRequest, "%s must be a positive number of milliseconds", callerapi.HeaderDeadlineMs)
		}
		limit = time.Duration(min(ms, s.opts.MaxDeadline.Milliseconds())) * time.Millisecond
	}
	id.deadline = s.opts.Clock().Add(limit)
	return nil
}

// shedRank returns the shed rank of requests with the label: the higher it is, the
// earlier they are shed. Labels that the contract does not list have rank 0.
func shedRank(c *config.Contract, label string) int {
	for i, l := range c.ShedOrder {
		if l == label {
			return len(c.ShedOrder) - i
		}
	}
	return 0
}
