// Command medlarholdd runs one instance of the scheduler.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/daemon"
	"github.com/medlarhold/medlarhold/internal/settings"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2   // the settings file is missing or invalid
	exitSignal   = 130 // stopped by a second signal during the planned stop
)

func main() {
	var file string
	cmd := &cobra.Command{
		Use:   "medlarholdd --settings FILE",
		Short: "Run one instance of the medlarhold scheduler",
		Long: `Run one instance of the medlarhold scheduler.

SIGTERM or SIGINT starts a planned stop, which lets requests in flight finish.
A second such signal ends the process at once. SIGHUP reloads keys and certificates.`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), file) },
	}
	cmd.Flags().StringVar(&file, "settings", "medlarhold.jsonc", "settings file, JSON with comments")
	cmd.AddCommand(platformCommand())
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "medlarholdd:", trace.UserMessage(err))
		if trace.IsBadParameter(err) || trace.IsNotFound(err) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailed)
	}
}

// run starts an instance with the settings in file and blocks until it stops.
func run(ctx context.Context, file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return trace.Wrap(err)
	}
	log, err := telemetry.NewLogger(s.LogVerbosity)
	if err != nil {
		return trace.Wrap(err)
	}
	d, err := daemon.New(s, log)
	if err != nil {
		return trace.Wrap(err)
	}
	d.LimitHeap()
	// The first line on stdout gives the addresses that the process listens on, so
	// that the parent process can find ports that the system chose.
	if err := json.NewEncoder(os.Stdout).Encode(d.Addresses()); err != nil {
		return trace.Wrap(err)
	}
	go handleSignals(d, log)
	return trace.Wrap(d.Run(ctx))
}

// handleSignals starts the planned stop on the first SIGTERM or SIGINT, exits on
// the second, and reloads keys and certificates on SIGHUP.
func handleSignals(d *daemon.Daemon, log logr.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	stopping := false
	for s := range signals {
		switch {
		case s == syscall.SIGHUP:
			d.Reload()
		case stopping:
			telemetry.Log(log, telemetry.EventSecondSignal)
			os.Exit(exitSignal)
		default:
			stopping = true
			d.Drain()
		}
	}
}
