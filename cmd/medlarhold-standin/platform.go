package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/standin/platformsvc"
)

// readHeaderTimeout bounds how long a client may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// listening is the line that a stand-in prints once it takes connections.
type listening struct {
	Name    string `json:"standin"`
	Address string `json:"address"`
}

// platformCommand runs log service, instance list and weight store.
func platformCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a log service, an instance list and a weight store in memory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			svc := platformsvc.New(platformsvc.Options{})
			return serve(ctx, cmd.OutOrStdout(), "platform", listen, svc.Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on, host:port")
	return cmd
}

// serve answers on the address until ctx is done. It prints one JSON line
// with the address as soon as it listens.
func serve(ctx context.Context, out io.Writer, name, listen string, h http.Handler) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return trace.Wrap(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stopped := context.AfterFunc(ctx, func() { srv.Close() })
	defer stopped()
	if err := json.NewEncoder(out).Encode(listening{Name: name, Address: ln.Addr().String()}); err != nil {
		return trace.Wrap(err)
	}
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}
