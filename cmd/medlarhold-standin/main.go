// Command medlarhold-standin runs stand-ins for what surrounds the system, for
// tests and demonstrations only.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "medlarhold-standin",
		Short:         "Stand-ins for engines and services; for tests only",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(engineCommand(), serviceCommand(), relayCommand(), loadCommand())
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}
