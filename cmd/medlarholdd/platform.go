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
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "run one instance on the users' platform",
		Long:  "Runs one instance with the settings file that the variable " + platform.SettingsVariable + " names.",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runOnPlatform() },
	}
	cmd.AddCommand(
		&cobra.Command{
			Use:   "check-settings FILE",
			Short: "read a settings file and name what is wrong with it",
			Args:  cobra.ExactArgs(1),
			RunE:  func(cmd *cobra.Command, args []string) error { return checkSettings(cmd, args[0]) },
		},
		&cobra.Command{
			Use:   "check-config FILE",
			Short: "read a configuration as operators write it and name what is wrong with it",
			Args:  cobra.ExactArgs(1),
			RunE:  func(cmd *cobra.Command, args []string) error { return checkConfig(cmd, args[0]) },
		},
	)
	return cmd
}

func checkSettings(cmd *cobra.Command, path string) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return trace.Wrap(err)
	}
	cmd.Printf("instance %s in zone %s: callers %s, peers %s, metrics %s, store %s\n", s.Name, s.Zone, s.Callers, s.Peers, s.Metrics, s.Store)
	return nil
}

func checkConfig(cmd *cobra.Command, path string) error {
	src, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	c, err := platform.CheckConfig(src)
	if err != nil {
		return trace.Wrap(err, "configuration %s", path)
	}
	cmd.Printf("version %d: %d routes, %d pools, %d organisations\n", c.Version, len(c.Routes), len(c.Pools), len(c.Organisations))
	return nil
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
			telemetry.Log(log, telemetry.EventSettingsReloadFailed, "error", trace.UserMessage(err))
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
