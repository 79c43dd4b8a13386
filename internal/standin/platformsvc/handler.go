package platformsvc

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// maxReadLimit bounds the records that one read over HTTP returns.
const maxReadLimit = 10_000

// Handler returns a handler for the platform's HTTP protocol and for the control of faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", s.serveAppend)
	mux.HandleFunc("GET /log/{stream}", s.serveRead)
	mux.HandleFunc("PUT /instances/{id}", s.serveRegister)
	mux.HandleFunc("DELETE /instances/{id}", s.serveDeregister)
	mux.HandleFunc("GET /instances", s.serveList)
	mux.HandleFunc("GET /weights/{name}", s.serveStat)
	mux.HandleFunc("PUT /weights/{name}", s.servePutWeights)
	mux.HandleFunc("POST /weights/{name}/download", s.serveDownload)
	mux.HandleFunc("GET /standin/faults", s.serveGetFaults)
	mux.HandleFunc("PUT /standin/faults", s.servePutFaults)
	return mux
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxRecordBytes+1))
	if err != nil || len(data) > platform.MaxRecordBytes {
		refuse(w, http.StatusRequestEntityTooLarge, platform.ErrorResponse{Code: platform.CodeNotAppended, Message: "record is too long"})
		return
	}
	off, err := s.Append(r.Context(), platform.Stream(r.PathValue("stream")), data)
	switch {
	case err == nil:
		answer(w, platform.AppendResponse{Offset: &off})
	case errors.Is(err, platform.ErrNotAppended):
		refuse(w, http.StatusServiceUnavailable, platform.ErrorResponse{Code: platform.CodeNotAppended, Message: trace.UserMessage(err)})
	default:
		dropConnection()
	}
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("limit"))
	waitMs, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil || from < 0 || limit < 0 || waitMs < 0 {
		refuse(w, http.StatusBadRequest, platform.ErrorResponse{Code: platform.CodeBadRequest, Message: "from, limit or wait_ms"})
		return
	}
	wait := time.Duration(waitMs) * time.Millisecond
	res, err := s.Read(r.Context(), platform.Stream(r.PathValue("stream")), platform.Offset(from), min(limit, maxReadLimit), wait)
	switch {
	case err == nil:
		answer(w, res)
	case errors.Is(err, platform.ErrTruncated):
		refuse(w, http.StatusGone, platform.ErrorResponse{Code: platform.CodeTruncated, First: res.First, Next: res.Next})
	default:
		unavailable(w, err)
	}
}

func (s *Service) serveRegister(w http.ResponseWriter, r *http.Request) {
	var row platform.InstanceRow
	if !readJSON(w, r, &row) {
		return
	}
	row.ID = entity.InstanceID(r.PathValue("id"))
	acknowledge(w, s.Register(r.Context(), entity.Instance(row)))
}

func (s *Service) serveDeregister(w http.ResponseWriter, r *http.Request) {
	acknowledge(w, s.Deregister(r.Context(), entity.InstanceID(r.PathValue("id"))))
}

func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := s.List(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	rows := make([]platform.InstanceRow, len(list))
	for i, in := range list {
		rows[i] = platform.InstanceRow(in)
	}
	answer(w, rows)
}

func (s *Service) serveStat(w http.ResponseWriter, r *http.Request) {
	n, err := s.Stat(r.Context(), r.PathValue("name"))
	if err != nil {
		weightsError(w, err)
		return
	}
	answer(w, platform.WeightStat{Bytes: n})
}

func (s *Service) servePutWeights(w http.ResponseWriter, r *http.Request) {
	var st platform.WeightStat
	if !readJSON(w, r, &st) {
		return
	}
	s.PutWeights(r.PathValue("name"), st.Bytes)
	acknowledge(w, nil)
}

// DownloadResponse is the response to a download: the time until it is complete, in milliseconds.
type DownloadResponse struct {
	WaitMs int64 `json:"wait_ms"`
}

func (s *Service) serveDownload(w http.ResponseWriter, r *http.Request) {
	at, err := s.Download(r.Context(), r.PathValue("name"))
	if err != nil {
		weightsError(w, err)
		return
	}
	answer(w, DownloadResponse{WaitMs: at.Sub(s.now()).Milliseconds()})
}

func (s *Service) serveGetFaults(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.Faults())
}

func (s *Service) servePutFaults(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if !readJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
	answer(w, f)
}

// readJSON decodes the request body into out. If that fails, it answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, platform.MaxRecordBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		refuse(w, http.StatusBadRequest, platform.ErrorResponse{Code: platform.CodeBadRequest, Message: err.Error()})
		return false
	}
	return true
}

// answer writes a response with status 200 and a JSON body.
func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// refuse writes a response with an error as its JSON body.
func refuse(w http.ResponseWriter, status int, body platform.ErrorResponse) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// unavailable answers 503 for a service in an outage.
func unavailable(w http.ResponseWriter, err error) {
	refuse(w, http.StatusServiceUnavailable, platform.ErrorResponse{Code: platform.CodeUnavailable, Message: trace.UserMessage(err)})
}

// weightsError answers a failed call of the weight store: 404 for unknown weights, 503 otherwise.
func weightsError(w http.ResponseWriter, err error) {
	if trace.IsNotFound(err) {
		refuse(w, http.StatusNotFound, platform.ErrorResponse{Code: platform.CodeNotFound, Message: trace.UserMessage(err)})
		return
	}
	unavailable(w, err)
}

// acknowledge answers a change that returns no body.
func acknowledge(w http.ResponseWriter, err error) {
	if err != nil {
		unavailable(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// dropConnection closes the connection without a response.
func dropConnection() { panic(http.ErrAbortHandler) }
