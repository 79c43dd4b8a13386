package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/core/rollout"
	"github.com/medlarhold/medlarhold/internal/gateway"
)

// rolloutCommand shows the roll-outs that instances know of.
func (a *App) rolloutCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "rollout METRICS-ADDRESS...",
		Short: "Show each roll-out: its share, the evidence, and why it stands, went on or went back",
		Long: "Queries instances that serve transparent routes at their metrics addresses, host:port, and shows what\n" +
			"each knows of the roll-outs: the state and the share of requests that goes to the target, the\n" +
			"answers and failures of the target and of the old version, and how far the evidence is on its way to a\n" +
			"roll-back, which is at 1. Instances hear of a step within a second.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return a.showRollouts(cmd.Context(), args) },
	}
}

// instanceRollouts is what one instance knows of the roll-outs.
type instanceRollouts struct {
	Instance string         `json:"instance"`
	Words    []rollout.Word `json:"rollouts"`
	Decides  bool           `json:"decides"`
}

// showRollouts shows the roll-outs that the instances with these metrics addresses know of.
func (a *App) showRollouts(ctx context.Context, addresses []string) error {
	t := table{header: []string{"POOL", "TARGET", "STATE", "SHARE", "TIME", "SENT", "FAILED", "FAILED OF OLD", "SUSPICION", "WHY", "INSTANCE"}}
	var all []instanceRollouts
	for _, address := range addresses {
		s, err := a.stateSnapshot(ctx, address)
		if err != nil {
			return err
		}
		all = append(all, instanceRollouts{Instance: string(s.Instance), Words: s.Rollouts, Decides: s.DecidesRollouts})
		for i := range s.Rollouts {
			addRollout(&t, s, &s.Rollouts[i])
		}
	}
	return a.show(all, t)
}

// addRollout adds a row for a roll-out.
func addRollout(t *table, s *gateway.StateSnapshot, w *rollout.Word) {
	e := &w.Evidence
	name := string(s.Instance)
	if s.DecidesRollouts {
		name += " (decides)"
	}
	suspicion := fmt.Sprintf("%.2f", e.Suspicion)
	if e.Kind != "" {
		suspicion += fmt.Sprintf(" (%s: %s)", e.Route, e.Kind)
	}
	state := string(w.State)
	if w.State == rollout.StateHeard {
		state = "heard"
	}
	t.row(w.Pool, w.Target, state, fmt.Sprintf("%.1f%%", 100*w.Share), fmt.Sprintf("%s of %s", min(w.Elapsed, w.Duration).Round(time.Second/10), w.Duration),
		fmt.Sprintf("%d of %d", e.Exposed, e.Requests), fmt.Sprintf("%d of %d", e.Failed, e.Answers), fmt.Sprintf("%d of %d", e.OldFailed, e.OldAnswers),
		suspicion, w.Why, name)
}
