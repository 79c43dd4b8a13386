package main

import (
	"encoding/json"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"github.com/medlarhold/medlarhold/internal/standin/serve"
)

// serverFlags are the flags of the commands that serve HTTP.
type serverFlags struct {
	listen   string
	settings string
}

func (f *serverFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.listen, "listen", "127.0.0.1:0", "address to listen on; port 0 selects a free port")
	cmd.Flags().StringVar(&f.settings, "settings", "{}", "settings as JSON with comments")
}

// read decodes the settings into the given value.
func (f *serverFlags) read(into any) error {
	data, err := hujson.Standardize([]byte(f.settings))
	if err != nil {
		return trace.BadParameter("--settings: %v", err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return trace.BadParameter("--settings: %v", err)
	}
	return nil
}

// startupLine is the JSON line that a command prints once it listens.
type startupLine struct {
	Kind    string `json:"kind"`
	Address string `json:"address"`
	// Control is the address of the control interface, if it differs from
	// Address.
	Control string `json:"control,omitempty"`
}

// serve serves HTTP until the process receives a signal to stop.
func (f *serverFlags) serve(cmd *cobra.Command, kind string, h http.Handler) error {
	s, err := serve.Listen(f.listen, h)
	if err != nil {
		return err
	}
	defer s.Close()
	return announce(cmd, startupLine{Kind: kind, Address: s.Address()})
}

// announce prints the start-up line and waits for a signal to stop or the end of
// the command's context.
func announce(cmd *cobra.Command, line startupLine) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := json.NewEncoder(cmd.OutOrStdout()).Encode(line); err != nil {
		return trace.Wrap(err)
	}
	<-ctx.Done()
	return nil
}
