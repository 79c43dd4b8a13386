package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/callerapi"
	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/claim"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/hopbyhop"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// service handles calls of plain services.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	id := s.opts.NewID()
	arrival, call, ident, err := s.readCall(w, r, id)
	if err != nil {
		s.refuse(w, id, err)
		return
	}
	s.run(r.Context(), arrival, &serviceJob{s: s, w: w, id: id, call: call}, ident)
}

// readCall authenticates the caller and reads a call of a plain service. Its errors
// are refusals for the caller.
func (s *Server) readCall(w http.ResponseWriter, r *http.Request, id entity.RequestID) (request.Arrival, endpoint.CallRequest, identity, error) {
	var call endpoint.CallRequest
	st := s.opts.State()
	ident, err := s.identify(r, st)
	if err != nil {
		return request.Arrival{}, call, ident, trace.Wrap(err)
	}
	pool, ok := st.Pool(entity.PoolID(r.PathValue("pool")))
	if !ok || pool.Kind != entity.KindService {
		return request.Arrival{}, call, ident, inputError(verdict.ReasonUnknownPool, "no service %q is configured", r.PathValue("pool"))
	}
	limit := s.opts.MaxBodyBytes
	if pool.MaxBodyBytes > 0 {
		limit = pool.MaxBodyBytes
	}
	body, err := readBody(w, r, limit)
	if err != nil {
		return request.Arrival{}, call, ident, trace.Wrap(err)
	}
	call = endpoint.CallRequest{RequestID: id, Method: r.Method, Path: servicePath(r), Header: forwardedHeader(r.Header), Body: body}
	arrival := request.Arrival{Work: entity.Work{
		ID: id, Org: ident.contract.Organisation, Pool: pool.Name, Tier: ident.tier,
		Deadline: ident.deadline, ShedRank: ident.shedRank,
	}}
	return arrival, call, ident, trace.Wrap(readKey(r, pool, call, &arrival))
}

// readKey sets whether the call is non-idempotent and, if so, its idempotency key
// and the hash of its method, path and body.
func readKey(r *http.Request, pool *config.Pool, call endpoint.CallRequest, a *request.Arrival) error {
	a.Work.NonIdempotent = nonIdempotent(pool, r.Method, call.Path)
	if !a.Work.NonIdempotent {
		return nil
	}
	a.Key = r.Header.Get(callerapi.HeaderRequestKey)
	if a.Key == "" || len(a.Key) > maxKeyBytes {
		return inputError(verdict.ReasonKeyRequired, "%s %s may not be repeated: %s of 1 to %d bytes is required", r.Method, call.Path, callerapi.HeaderRequestKey, maxKeyBytes)
	}
	h := sha256.New()
	h.Write([]byte(call.Method + " " + call.Path + "\n"))
	h.Write(call.Body)
	a.BodyHash = hex.EncodeToString(h.Sum(nil)[:16])
	return nil
}

func nonIdempotent(pool *config.Pool, method, path string) bool {
	for _, p := range pool.NonIdempotent {
		if p.Method == method && strings.HasPrefix(path, p.PathPrefix) {
			return true
		}
	}
	return false
}

// servicePath returns the path and query of the call at the service.
func servicePath(r *http.Request) string {
	path := "/" + strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+r.PathValue("pool")+"/")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// notForwarded lists the header fields that are only for this system.
var notForwarded = []string{
	"Authorization", "Content-Length", callerapi.HeaderTier, callerapi.HeaderDeadlineMs, callerapi.HeaderLabel, callerapi.HeaderRequestID,
}

// forwardedHeader returns a copy of h without hop-by-hop fields and those in notForwarded.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	hopbyhop.Drop(out)
	for _, name := range notForwarded {
		out.Del(name)
	}
	return out
}

// serviceJob is the job of a call of a plain service.
type serviceJob struct {
	s        *Server
	w        http.ResponseWriter
	id       entity.RequestID
	call     endpoint.CallRequest
	response endpoint.CallResponse
	answered bool
}

func (j *serviceJob) dispatch(ctx context.Context, e entity.Endpoint, _ request.Directive) {
	start := j.s.opts.Clock()
	res, err := j.s.opts.Endpoints.Call(ctx, e.Address, j.call)
	end := request.End{Release: entity.Release{TimeToFirstToken: j.s.opts.Clock().Sub(start)}}
	if err != nil {
		end.Err = verdict.Of(err)
		end.Release.Failed = true
		j.s.endpointFailed(j.id, e, end.Err)
	} else {
		j.response, j.answered = res, true
		end.Answer = retainedAnswer(res)
	}
	j.s.opts.Control.Ended(j.id, end)
}

// retainedAnswer returns the part of a response that is stored with its idempotency
// key. A body over claim.MaxAnswerBytes is not stored.
func retainedAnswer(res endpoint.CallResponse) *request.Answer {
	a := &request.Answer{Status: res.Status, ContentType: res.Header.Get("Content-Type")}
	if len(res.Body) > claim.MaxAnswerBytes {
		a.Truncated = true
		return a
	}
	a.Body = res.Body
	return a
}

// Calls to plain services are never interrupted.
func (j *serviceJob) pause(context.Context, entity.Endpoint)                     {}
func (j *serviceJob) resume(context.Context, entity.Endpoint)                    {}
func (j *serviceJob) cancel(context.Context, entity.Endpoint, request.Directive) {}

func (j *serviceJob) finish(d request.Directive) {
	switch {
	case d.Err != nil:
		writeError(j.w, j.id, d.Err)
	case j.answered:
		j.writeResponse(j.response.Verdict())
	case d.Answer != nil:
		j.replay(d.Answer)
	}
}

func (j *serviceJob) writeResponse(v verdict.Verdict) {
	h := j.w.Header()
	for name, values := range forwardedHeader(j.response.Header) {
		h[name] = values
	}
	setVerdict(h, j.id, v, verdict.ReasonNone)
	j.w.WriteHeader(j.response.Status)
	// A write error needs no handling: the request's context ends when the caller closes its connection.
	_, _ = j.w.Write(j.response.Body)
}

// replay writes the stored outcome of an earlier request with the same key.
func (j *serviceJob) replay(a *request.Answer) {
	h := j.w.Header()
	h.Set(callerapi.HeaderReplayed, "true")
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	if a.Truncated {
		h.Set(callerapi.HeaderBodyOmitted, "true")
	}
	setVerdict(h, j.id, verdict.Ran, verdict.ReasonNone)
	j.w.WriteHeader(a.Status)
	_, _ = j.w.Write(a.Body)
}
