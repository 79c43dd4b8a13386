// Command medlarhold-standin runs stand-ins for what surrounds the system in
// tests and demonstrations. It is for tests only: it keeps everything in
// memory, checks no one's identity and brings about faults on demand.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:          "medlarhold-standin",
		Short:        "Stand-ins for tests only: platform, engine, plain service",
		SilenceUsage: true,
	}
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand(), relayCommand(), loadCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
