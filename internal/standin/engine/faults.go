package engine

import (
	"context"
	"net/http"
)

// CutKind is the way in which a connection that carries a stream is cut.
type CutKind string

// The kinds of cut.
const (
	// CutAbort closes the connection in the middle of the answer.
	CutAbort CutKind = "abort"
	// CutEOF ends the response without an error, but also without the end event of the stream.
	CutEOF CutKind = "eof"
	// CutStall keeps the connection open and sends nothing more on it.
	CutStall CutKind = "silent"
)

// Cut describes how connections that carry streams are cut. The streams themselves continue.
type Cut struct {
	Kind        CutKind `json:"kind"`
	AfterTokens int     `json:"after_tokens"`
	// Times is the number of connections to cut.
	Times int `json:"times"`
}

// Faults are the faults that the engine injects. The zero value is a healthy engine.
type Faults struct {
	// Slow is the factor by which iterations take longer; zero means one.
	Slow float64 `json:"slow,omitempty"`
	// Frozen stops the work and all responses until it is unset.
	Frozen bool `json:"frozen,omitempty"`
	// RefuseWith is the status code with which all dispatches are refused; zero refuses none.
	RefuseWith int `json:"refuse_with,omitempty"`
	// Unanswered is the number of dispatches that are accepted and then have their connection
	// closed without a response.
	Unanswered int `json:"unanswered,omitempty"`
	// Lost is the number of dispatches that are not accepted and have their connection closed.
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
		s.unfrozen = make(chan struct{})
	}
	if !f.Frozen && s.faults.Frozen {
		s.model.Unfreeze(now)
		close(s.unfrozen)
	}
	s.faults = f
	s.wakeLoop()
}

// StallOpenConnections stops sending on all connections that carry streams now, without closing
// them. Connections opened later are not affected.
func (s *Server) StallOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalledUpTo = s.connections
}

// waitUnfrozen waits while the engine is frozen. It aborts the connection if ctx or the engine
// ends first.
func (s *Server) waitUnfrozen(ctx context.Context) {
	s.mu.Lock()
	frozen, unfrozen := s.faults.Frozen, s.unfrozen
	s.mu.Unlock()
	if !frozen {
		return
	}
	select {
	case <-unfrozen:
	case <-ctx.Done():
		abortConnection()
	case <-s.done:
		abortConnection()
	}
}

// consumeFault decrements the remaining count of a fault, and reports whether there was one left.
func (s *Server) consumeFault(times *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *times <= 0 {
		return false
	}
	*times--
	return true
}

// takeCut reports whether the connection is to be cut now, and how; if so, it decrements the number
// of connections left to cut. written is the number of tokens sent on the connection.
func (s *Server) takeCut(written int) (CutKind, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.faults.Cut
	if c.Times <= 0 || written < c.AfterTokens {
		return "", false
	}
	c.Times--
	return c.Kind, true
}

// abortConnection closes the connection of the handler that calls it.
func abortConnection() {
	panic(http.ErrAbortHandler)
}
