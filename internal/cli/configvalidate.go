package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/config"
)

// configValidateCommand checks configuration files.
func (a *App) configValidateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE...",
		Short: "Check configuration files without publishing them",
		Long: "Checks configuration files, JSON with comments. With --log, they are checked together\n" +
			"with the published configuration; without it, they must be self-contained. Nothing is\n" +
			"published.",
		Example: "  medlarhold config validate contracts.json\n  medlarhold config validate --log http://10.0.0.5:7000 contracts.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.configValidate(cmd.Context(), args)
		},
	}
}

func (a *App) configValidate(ctx context.Context, files []string) error {
	objects, err := a.parseFiles(files)
	if err != nil {
		return err
	}
	var state config.State
	if a.flagOrEnv(a.flags.log, EnvLog) != "" {
		log, err := a.log()
		if err != nil {
			return err
		}
		f, err := a.follower(ctx, log)
		if err != nil {
			return err
		}
		state = f.State()
	}
	if err := a.reportProblems(config.Validate(state, objects)); err != nil {
		return err
	}
	if a.flags.output == outputJSON {
		return a.showJSON([]config.Problem{})
	}
	fmt.Fprintf(a.Out, "%d object(s) are valid.\n", len(objects))
	return nil
}
