package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/config"
)

// configCommand groups the commands about configuration.
func (a *App) configCommand() *cobra.Command {
	cmd := group("config", "Validate, publish and show configuration")
	cmd.AddCommand(
		a.configValidateCommand(),
		a.configPublishCommand(),
		a.configShowCommand(),
		a.configHistoryCommand(),
		a.configStatusCommand(),
	)
	return cmd
}

// parseFiles reads and parses configuration files; "-" is the standard input.
func (a *App) parseFiles(names []string) ([]config.Object, error) {
	var objects []config.Object
	var problems []config.Problem
	for _, name := range names {
		src, err := a.readFile(name)
		if err != nil {
			return nil, fail(ExitInvalid, err, "Nothing was published.")
		}
		os, ps := config.Parse(name, src)
		objects = append(objects, os...)
		problems = append(problems, ps...)
	}
	return objects, a.reportProblems(problems)
}

// readFile reads one file or the standard input.
func (a *App) readFile(name string) ([]byte, error) {
	if name == "-" {
		src, err := io.ReadAll(io.LimitReader(a.In, config.MaxFileBytes+1))
		return src, trace.Wrap(err)
	}
	src, err := os.ReadFile(name)
	return src, trace.ConvertSystemError(err)
}

// reportProblems prints the problems and returns the error for them; nil without problems.
func (a *App) reportProblems(problems []config.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	if a.flags.output == outputJSON {
		if err := a.showJSON(problems); err != nil {
			return err
		}
	} else {
		for _, p := range problems {
			fmt.Fprintln(a.Err, p)
		}
	}
	return fail(ExitInvalid, trace.BadParameter("%d problem(s) in the configuration", len(problems)),
		"Nothing was published. Correct the problems listed above; docs/CONFIGURATION.md describes every field.")
}
