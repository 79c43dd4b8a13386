package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/sse"
)

// record is a stream with its tokens, retained so that it can be attached to again. It is guarded
// by the server's lock.
type record struct {
	id         entity.RequestID
	runID      entity.RequestID
	answer     answerGenerator
	entry      *Entry
	tokens     int
	end        *endpoint.End
	changed    chan struct{} // closed at the next change
	readers    int
	lastActive time.Time
}

func (r *record) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// view is a snapshot of a record for a reader.
type view struct {
	tokens  int
	end     *endpoint.End
	changed <-chan struct{}
	stalled bool
}

// reader sends a stream over one connection.
type reader struct {
	server     *Server
	record     *record
	connection int
	next       int
	written    int
	w          http.ResponseWriter
	flush      func()
}

// serveStream sends the stream from token from on, until the stream or the connection ends.
func (s *Server) serveStream(w http.ResponseWriter, ctx context.Context, r *record, from int) {
	rd := &reader{server: s, record: r, next: from, w: w, flush: func() {}}
	if f, ok := w.(http.Flusher); ok {
		rd.flush = f.Flush
	}
	rd.open()
	defer rd.close()
	w.Header().Set("Content-Type", sse.ContentType)
	w.Header().Set(endpoint.HeaderRequestID, string(r.id))
	w.WriteHeader(http.StatusOK)
	rd.flush()
	for rd.step(ctx) {
	}
}

func (rd *reader) open() {
	rd.server.mu.Lock()
	defer rd.server.mu.Unlock()
	rd.server.connections++
	rd.connection = rd.server.connections
	rd.record.readers++
	rd.record.entry.Attached++
}

func (rd *reader) close() {
	rd.server.mu.Lock()
	defer rd.server.mu.Unlock()
	rd.record.readers--
	rd.record.lastActive = rd.server.clock()
}

func (rd *reader) view() view {
	rd.server.mu.Lock()
	defer rd.server.mu.Unlock()
	r := rd.record
	return view{tokens: r.tokens, end: r.end, changed: r.changed, stalled: rd.connection <= rd.server.stalledUpTo}
}

// step sends the tokens that are available and waits for more. It returns false when the stream or
// the connection has ended.
func (rd *reader) step(ctx context.Context) bool {
	rd.server.waitUnfrozen(ctx)
	v := rd.view()
	if v.stalled {
		return rd.stall(ctx)
	}
	for ; rd.next < v.tokens; rd.next++ {
		if kind, cut := rd.server.takeCut(rd.written); cut {
			return rd.cut(ctx, kind)
		}
		t := endpoint.Token{Index: rd.next, Text: rd.record.answer.token(rd.next)}
		if sse.Write(rd.w, endpoint.EventToken, t) != nil {
			return false
		}
		rd.written++
	}
	if v.end != nil {
		if kind, cut := rd.server.takeCut(rd.written); cut {
			return rd.cut(ctx, kind)
		}
		_ = sse.Write(rd.w, endpoint.EventEnd, v.end)
		return false
	}
	rd.flush()
	return rd.wait(ctx, v.changed)
}

// wait waits for a change of the record, or sends a keep-alive comment after Settings.Keepalive.
// It returns false when the connection has ended.
func (rd *reader) wait(ctx context.Context, changed <-chan struct{}) bool {
	keepalive := time.NewTimer(rd.server.settings.Keepalive)
	defer keepalive.Stop()
	select {
	case <-changed:
		return true
	case <-keepalive.C:
		rd.server.waitUnfrozen(ctx)
		if rd.view().stalled {
			return true
		}
		err := sse.WriteComment(rd.w, "keepalive")
		rd.flush()
		return err == nil
	case <-ctx.Done():
		return false
	case <-rd.server.done:
		return false
	}
}

func (rd *reader) cut(ctx context.Context, kind CutKind) bool {
	rd.flush()
	switch kind {
	case CutEOF:
		return false
	case CutStall:
		if stalled := rd.server.settings.Stalled; stalled != nil {
			stalled()
		}
		return rd.stall(ctx)
	}
	abortConnection()
	return false
}

func (rd *reader) stall(ctx context.Context) bool {
	select {
	case <-ctx.Done():
	case <-rd.server.done:
	}
	return false
}
