package cli

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/config"
)

// configShowCommand shows the published configuration.
func (a *App) configShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show [KIND [NAME]]",
		Short: "Show the published configuration",
		Long: "Lists the published objects, of one kind or of all kinds. With a name, the object is\n" +
			"printed as a configuration file that can be edited and published again.",
		Example:   "  medlarhold config show contract\n  medlarhold config show contract bank > bank.json",
		Args:      cobra.MaximumNArgs(2),
		ValidArgs: kindNames(),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.configShow(cmd.Context(), args)
		},
	}
}

// kindNames returns the kinds of objects for shell completion.
func kindNames() []string {
	var out []string
	for _, k := range config.Kinds() {
		out = append(out, string(k))
	}
	return out
}

func (a *App) configShow(ctx context.Context, args []string) error {
	log, err := a.log()
	if err != nil {
		return err
	}
	f, err := a.follower(ctx, log)
	if err != nil {
		return err
	}
	if len(args) == 2 {
		return a.showObject(f.State().ObjectState(config.Kind(args[0]), args[1]))
	}
	list := make([]config.ObjectState, 0)
	t := table{header: []string{"KIND", "NAME", "REVISION", "OPERATOR", "SINCE"}}
	for o := range f.State().Objects() {
		if len(args) == 1 && string(o.Kind) != args[0] {
			continue
		}
		list = append(list, o)
		t.row(o.Kind, o.Name, o.Revision, o.Operator, o.At)
	}
	return a.show(list, t)
}

// showObject prints one object in the format of a configuration file.
func (a *App) showObject(s config.ObjectState) error {
	if s.Revision == 0 || s.Deleted {
		return fail(ExitFailure, trace.NotFound("%s %q does not exist", s.Kind, s.Name), "To list the objects that exist, run: medlarhold config show.")
	}
	return a.showJSON(config.Object{Kind: s.Kind, Name: s.Name, BasedOn: &s.Revision, Spec: s.Spec})
}
