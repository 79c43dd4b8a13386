package cli

import (
	"fmt"

	"github.com/spf13/cobra"
)

// versionCommand shows the program's version.
func (a *App) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Show the version of this program",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if a.flags.output == outputJSON {
				return a.showJSON(struct {
					Version string `json:"version"`
				}{a.Version})
			}
			fmt.Fprintf(a.Out, "medlarhold %s\n", a.Version)
			return nil
		},
	}
}
