package caller

import (
	"net/http"

	"github.com/medlarhold/medlarhold/internal/callerapi"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// status handles GET /v1/requests/{id}: the status of a request. Requests of other
// organisations count as unknown.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	ident, err := s.identify(r, s.opts.State())
	if err != nil {
		s.refuse(w, "", err)
		return
	}
	id := entity.RequestID(r.PathValue("id"))
	st, ok := s.opts.Control.Status(r.Context(), id)
	if ok && st.Org != "" && st.Org != ident.contract.Organisation {
		ok = false
	}
	if !ok {
		s.refuse(w, id, inputError(verdict.ReasonUnknownRequest, "nothing is known of request %q", id))
		return
	}
	setVerdict(w.Header(), id, st.Verdict, st.Reason)
	writeJSON(w, http.StatusOK, callerapi.Request{ID: id, State: st.State, Verdict: st.Verdict, Reason: st.Reason, Endpoint: st.Endpoint, At: st.At})
}
