package engine

import (
	"context"
	"net/http"
)

// CutKind says how a connection that carries a stream is cut.
type CutKind string

// The kinds of cut.
const (
	// CutAbort closes the connection in the middle of the answer.
	CutAbort CutKind = "abort"
	// CutEOF ends the answer in order, but without its end mark.
	CutEOF CutKind = "eof"
	// CutStall keeps the connection open and sends nothing more on it.
	CutStall CutKind = "silent"
)

// Cut cuts connections that carry streams; the streams go on.
type Cut struct {
	Kind        CutKind `json:"kind"`
	AfterTokens int     `json:"after_tokens"`
	// Times is how many connections are cut.
	Times int `json:"times"`
}

// Faults are the faults that the engine shows. The zero value is a healthy engine.
type Faults struct {
	// Slow makes iterations take so many times as long; zero means one.
	Slow float64 `json:"slow,omitempty"`
	// Frozen stops the work and all answers until it is unset.
	Frozen bool `json:"frozen,omitempty"`
	// RefuseWith refuses all dispatches with this status code.
	RefuseWith int `json:"refuse_with,omitempty"`
	// Unanswered is how many dispatches are taken in and then have their
	// connection closed without an answer.
	Unanswered int `json:"unanswered,omitempty"`
	// Lost is how many dispatches have their connection closed and aren't taken in.
	Lost int `json:"lost,omitempty"`
	// Cut cuts connections that carry streams.
	Cut Cut `json:"cut,omitzero"`
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if f.Slow <= 0 {
		f.Slow = 1
	}
	s.model.SetSlowdown(f.Slow)
	if f.Frozen && !s.faults.Frozen {
		s.model.Freeze(now)
		s.thaw = make(chan struct{})
	}
	if !f.Frozen && s.faults.Frozen {
		s.model.Unfreeze(now)
		close(s.thaw)
	}
	s.faults = f
	s.kick()
}

// StallOpenConnections makes all connections that carry streams now go silent for good.
// New ones work.
func (s *Server) StallOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced = s.connections
}

// waitThaw waits while the engine is frozen.
func (s *Server) waitThaw(ctx context.Context) {
	s.mu.Lock()
	frozen, thaw := s.faults.Frozen, s.thaw
	s.mu.Unlock()
	if !frozen {
		return
	}
	select {
	case <-thaw:
	case <-ctx.Done():
		abort()
	case <-s.done:
		abort()
	}
}

// take uses up one of the times that a fault is to show.
func (s *Server) take(times *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *times <= 0 {
		return false
	}
	*times--
	return true
}

// cutHere says whether the connection is to be cut now, and how.
func (s *Server) cutHere(written int) (CutKind, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.faults.Cut
	if c.Times <= 0 || written < c.AfterTokens {
		return "", false
	}
	c.Times--
	return c.Kind, true
}

// abort closes the connection of the handler that calls it.
func abort() {
	panic(http.ErrAbortHandler)
}
