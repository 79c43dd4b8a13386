// Package serve runs the HTTP servers of the test stand-ins.
package serve

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/gravitational/trace"
)

// Server is a running HTTP server.
type Server struct {
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// Listen serves handler on address; port 0 takes a free one.
func Listen(address string, handler http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{listener: l, http: &http.Server{Handler: handler}, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l) // ends with Close
	}()
	return s, nil
}

// Address returns host and port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// WriteJSON answers with v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a caller that has gone is no error here
}

// MaxBodyBytes bounds the bodies that stand-ins read.
const MaxBodyBytes = 16 << 20

// DecodeJSON reads the body as JSON into v. It answers 400 and returns false when
// that fails.
func DecodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
