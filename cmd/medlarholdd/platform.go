package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/gateway"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/platform"
)

// platformCommand runs one instance on the users' platform.
func platformCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "platform",
		Short: "run one instance on the users' platform",
		Long:  "Runs one instance with the settings file that the variable " + platform.SettingsVariable + " names.",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runOnPlatform() },
	}
}

func runOnPlatform() error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return trace.BadParameter("the variable %s names no settings file", platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return trace.Wrap(err)
	}
	log, flush := telemetry.NewBoundedLogger(os.Stdout)
	defer flush()
	headers := platform.Headers{}
	adapter := gateway.Adapter{
		Store:   platform.NewStore(settings.Store, &http.Transport{MaxIdleConnsPerHost: 2}),
		Callers: headers, Upstream: headers,
	}
	g := gateway.New(settings, adapter, log, telemetry.NewMetrics())
	go handlePlatformSignals(g, func() {
		if _, err := platform.LoadSettings(path); err != nil {
			telemetry.Log(log, telemetry.EventSettingsUnchanged, "error", trace.UserMessage(err))
			return
		}
		telemetry.Log(log, telemetry.EventSettingsReloaded)
	})
	return trace.Wrap(g.Run(context.Background()))
}

// handlePlatformSignals begins the planned stop on SIGTERM and reloads on SIGHUP.
func handlePlatformSignals(g *gateway.Instance, reload func()) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for s := range signals {
		if s == syscall.SIGHUP {
			reload()
			continue
		}
		g.Leave()
	}
}
