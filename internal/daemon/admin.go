package daemon

import (
	"encoding/json"
	"net/http"
	"strings"
)

// adminHandler serves operators and metrics collectors.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /admin/v1/drain", d.operator(func(w http.ResponseWriter, _ *http.Request) {
		d.Leave()
		writeJSON(w, struct{}{})
	}))
	return mux
}

// operator lets only operators through.
func (d *Daemon) operator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || !d.keys.Operator(key) {
			http.Error(w, "an operator's key is required", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An operator that went away is no error here.
	_ = json.NewEncoder(w).Encode(v)
}
