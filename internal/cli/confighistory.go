package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/config"
)

// historyOptions are the flags of config history.
type historyOptions struct {
	kind, name string
	limit      int
}

// configHistoryCommand shows past changes.
func (a *App) configHistoryCommand() *cobra.Command {
	var o historyOptions
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Show the changes that are still in the log, and the outcome of each",
		Long: "Shows changes from the oldest to the newest, including those that lost or were invalid.\n" +
			"If retention has removed the first ones, the list begins after the newest snapshot.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.configHistory(cmd.Context(), o)
		},
	}
	cmd.Flags().StringVar(&o.kind, "kind", "", "show only objects of this kind")
	cmd.Flags().StringVar(&o.name, "name", "", "show only objects with this name")
	cmd.Flags().IntVar(&o.limit, "limit", 50, "maximum number of changes to show, the newest ones; 0 for all")
	return cmd
}

func (a *App) configHistory(ctx context.Context, o historyOptions) error {
	log, err := a.log()
	if err != nil {
		return err
	}
	all, _, err := config.History(ctx, log, a.Now)
	if err != nil {
		return readFailure(err)
	}
	list := make([]config.Outcome, 0)
	for _, out := range all {
		if o.matches(out) {
			list = append(list, out)
		}
	}
	if o.limit > 0 {
		list = list[max(0, len(list)-o.limit):]
	}
	t := table{header: []string{"OFFSET", "AT", "OPERATOR", "KIND", "NAME", "RESULT", "CHANGE"}}
	for _, out := range list {
		t.row(out.Offset, out.At, out.Operator, out.Current.Kind, out.Current.Name, out.Result, out.ChangeID)
	}
	return a.show(list, t)
}

// matches reports whether the flags select the outcome.
func (o historyOptions) matches(out config.Outcome) bool {
	return out.ChangeID != "" &&
		(o.kind == "" || string(out.Current.Kind) == o.kind) &&
		(o.name == "" || out.Current.Name == o.name)
}
