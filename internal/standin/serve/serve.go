// Package serve runs the HTTP servers of the simulated engines, services and platform.
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

// Listen serves handler on address until Close; port 0 selects a free port.
func Listen(address string, handler http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{listener: l, http: &http.Server{Handler: handler}, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l) // returns after Close
	}()
	return s, nil
}

// Address returns the address that the server listens on, as host:port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// WriteJSON writes a response with the given status and v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}

// MaxBodyBytes bounds the request bodies that the servers read.
const MaxBodyBytes = 16 << 20

// DecodeJSON decodes the request body as JSON into v. If that fails, it answers 400 and returns
// false.
func DecodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
