package relay

import (
	"net/http"

	"github.com/medlarhold/medlarhold/internal/standin/serve"
)

// Control returns the HTTP interface through which another process sets the faults: PUT
// /standin/faults, POST /standin/cut, POST /standin/silence-open and GET /standin/connections.
func (r *Relay) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, req *http.Request) {
		var f Faults
		if serve.DecodeJSON(w, req, &f) {
			r.SetFaults(f)
		}
	})
	mux.HandleFunc("POST /standin/cut", func(http.ResponseWriter, *http.Request) { r.CutConnections() })
	mux.HandleFunc("POST /standin/silence-open", func(http.ResponseWriter, *http.Request) { r.StallOpenConnections() })
	mux.HandleFunc("GET /standin/connections", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, connections{Open: r.OpenConnections(), Accepted: r.AcceptedConnections()})
	})
	return mux
}

// connections is the response of GET /standin/connections.
type connections struct {
	Open     int `json:"open"`
	Accepted int `json:"accepted"`
}
