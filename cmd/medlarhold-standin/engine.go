package main

import (
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/standin/engine"
)

// engineCommand runs a simulated model engine.
func engineCommand() *cobra.Command {
	var flags serverFlags
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a simulated model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var settings engine.Settings
			if err := flags.read(&settings); err != nil {
				return err
			}
			e := engine.New(settings)
			defer e.Close()
			return flags.serve(cmd, "engine", e)
		},
	}
	flags.add(cmd)
	return cmd
}
