// Command medlarhold-standin simulates the services around the system:
// platform, engines, plain services and network relays. It is for tests and
// demonstrations only: it keeps all state in memory, authenticates no one and
// injects faults on demand.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:          "medlarhold-standin",
		Short:        "Simulated services for tests only: platform, engine, plain service, network relay and load generator",
		SilenceUsage: true,
	}
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand(), relayCommand(), loadCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
