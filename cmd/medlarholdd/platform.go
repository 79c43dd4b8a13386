package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/gateway"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/platform"
)

// platformCommand returns the command that runs one instance on the users'
// platform, with sub-commands that check settings and configuration files.
func platformCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run one instance on the users' platform",
		Long:  "Runs one instance with the settings file named by the environment variable " + platform.SettingsVariable + ".",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runOnPlatform() },
	}
	cmd.AddCommand(
		&cobra.Command{
			Use:   "check-settings FILE",
			Short: "Check a settings file and report errors in it",
			Args:  cobra.ExactArgs(1),
			RunE:  func(cmd *cobra.Command, args []string) error { return checkSettings(cmd, args[0]) },
		},
		&cobra.Command{
			Use:   "check-config FILE",
			Short: "Check a configuration file in the operators' format and report errors in it",
			Args:  cobra.ExactArgs(1),
			RunE:  func(cmd *cobra.Command, args []string) error { return checkConfig(cmd, args[0]) },
		},
	)
	return cmd
}

// checkSettings loads a settings file and prints a summary of it.
func checkSettings(cmd *cobra.Command, path string) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return trace.Wrap(err)
	}
	cmd.Printf("instance %s in zone %s: callers %s, peers %s, metrics %s, store %s\n", s.Name, s.Zone, s.Callers, s.Peers, s.Metrics, s.Store)
	return nil
}

// checkConfig checks a configuration file and prints a summary of it.
func checkConfig(cmd *cobra.Command, path string) error {
	src, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	c, err := platform.CheckConfig(src)
	if err != nil {
		return trace.Wrap(err, "configuration %s", path)
	}
	cmd.Printf("version %d: %d routes, %d pools, %d organisations, keys %s\n", c.Version, len(c.Routes), len(c.Pools), len(c.Organisations), c.Keys)
	return nil
}

// runOnPlatform starts an instance with the settings file that the environment
// names, and blocks until it stops.
func runOnPlatform() error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return trace.BadParameter("environment variable %s is not set, so there is no settings file to read", platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return trace.Wrap(err)
	}
	log, flush := telemetry.NewBoundedLogger(os.Stdout)
	defer flush()
	settings.Budget().LimitHeap()
	headers := platform.Headers{}
	adapter := gateway.Adapter{
		Store:   platform.NewStore(settings.Store),
		Callers: headers, Upstream: headers,
	}
	g := gateway.New(settings, adapter, log, telemetry.NewMetrics())
	go handlePlatformSignals(g, func() {
		changed, err := platform.LoadSettings(path)
		if err != nil {
			telemetry.Log(log, telemetry.EventSettingsReloadFailed, "error", trace.UserMessage(err))
			return
		}
		telemetry.Log(log, telemetry.EventSettingsChecked, "changed", !reflect.DeepEqual(changed, settings))
	})
	return trace.Wrap(g.Run(context.Background()))
}

// handlePlatformSignals starts the planned stop on SIGTERM or SIGINT and calls
// checkSettings on SIGHUP.
func handlePlatformSignals(g *gateway.Instance, checkSettings func()) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for s := range signals {
		if s == syscall.SIGHUP {
			checkSettings()
			continue
		}
		g.Drain()
	}
}
