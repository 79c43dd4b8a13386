package cli

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"golang.org/x/time/rate"

	"github.com/medlarhold/medlarhold/internal/config"
)

// publishOptions are the flags of config publish.
type publishOptions struct {
	wait    bool
	timeout time.Duration
}

// configPublishCommand publishes files.
func (a *App) configPublishCommand() *cobra.Command {
	var o publishOptions
	cmd := &cobra.Command{
		Use:   "publish FILE...",
		Short: "Publish configuration files to the log service",
		Long: "Checks the files together with the published configuration and then appends one change\n" +
			"for each object that differs. If a file is invalid, nothing is published. A change is\n" +
			"based on the revision that the file specifies in based_on, or else on the object's\n" +
			"current revision; if another operator's change comes first, this one is not applied and\n" +
			"the current revision is shown.",
		Example: "  medlarhold config publish --wait --admin 10.0.1.1:7002 contracts.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.configPublish(cmd.Context(), args, o)
		},
	}
	cmd.Flags().BoolVar(&o.wait, "wait", false, "wait until the change is in force at all instances, and show the revision in force per zone")
	cmd.Flags().DurationVar(&o.timeout, "timeout", 10*time.Second, "maximum time to wait")
	return cmd
}

func (a *App) configPublish(ctx context.Context, files []string, o publishOptions) error {
	objects, err := a.parseFiles(files)
	if err != nil {
		return err
	}
	log, err := a.log()
	if err != nil {
		return err
	}
	f, err := a.follower(ctx, log)
	if err != nil {
		return err
	}
	if err := a.reportProblems(config.Validate(f.State(), objects)); err != nil {
		return err
	}
	p := &config.Publisher{Log: log, Follower: f, Now: a.Now, Backoff: a.Backoff}
	done, failure := a.publishAll(ctx, p, objects)
	if err := a.showPublished(done); err != nil {
		return err
	}
	if failure != nil || !o.wait {
		return failure
	}
	return a.waitInForce(ctx, f.State().Revision(), o.timeout)
}

// published is the result of publishing one object.
type published struct {
	config.Outcome
	Unchanged bool `json:"unchanged,omitempty"`
}

// Rate limit of publishing. The log service accepts several hundred appends per
// second in total, and publishing a large file must leave capacity for the others.
const (
	publishPerSec = 50
	publishBurst  = 20
)

// publishAll publishes one object after the other and stops at the first that
// is not applied. It also returns the results up to there.
func (a *App) publishAll(ctx context.Context, p *config.Publisher, objects []config.Object) ([]published, error) {
	var done []published
	limiter := rate.NewLimiter(publishPerSec, publishBurst)
	for _, o := range config.Ordered(objects) {
		current := p.Follower.State().ObjectState(o.Kind, o.Name)
		if p.Follower.State().Unchanged(o) {
			done = append(done, published{Outcome: config.Outcome{Current: current}, Unchanged: true})
			continue
		}
		if err := a.Sleep(ctx, limiter.ReserveN(a.Now(), 1).DelayFrom(a.Now())); err != nil {
			return done, fail(ExitFailure, trace.Wrap(err), "The objects listed were published. Run the same command again for the rest.")
		}
		out, err := p.Publish(ctx, a.change(o, current.Revision))
		if err != nil {
			return done, publishFailure(o, err)
		}
		done = append(done, published{Outcome: out})
		if err := outcomeFailure(o, out); err != nil {
			return done, err
		}
	}
	return done, nil
}

// change returns the change that publishes an object. Its base is the revision in
// based_on, or else the object's current revision.
func (a *App) change(o config.Object, current config.Revision) config.Change {
	c := config.Change{
		ID:       a.NewID(),
		Kind:     o.Kind,
		Name:     o.Name,
		BasedOn:  current,
		Operator: a.operator(),
		Delete:   o.Delete,
		Spec:     o.Spec,
	}
	if o.BasedOn != nil {
		c.BasedOn = *o.BasedOn
	}
	return c
}

// publishFailure returns the error for a change that did not reach the log, or of
// which that is unknown.
func publishFailure(o config.Object, err error) error {
	if errors.Is(err, config.ErrUnknownOutcome) {
		return fail(ExitUnknownOutcome, trace.Wrap(err, "%s %q", o.Kind, o.Name),
			"The log service accepted the change, or may have accepted it. Run the same command again: objects that are already published are left unchanged.")
	}
	return fail(ExitUnreachable, trace.Wrap(err, "%s %q", o.Kind, o.Name),
		"The change was not published; those listed before it were. Run the same command again.")
}

// outcomeFailure returns the error for a change that is on the log but was not
// applied; nil if it was.
func outcomeFailure(o config.Object, out config.Outcome) error {
	s := out.Current
	switch out.Result {
	case config.ResultApplied, config.ResultDuplicate:
		return nil
	case config.ResultLost:
		return fail(ExitConflict, trace.CompareFailed("%s %q was changed by %s at revision %d", o.Kind, o.Name, cell(s.Operator), s.Revision),
			fmt.Sprintf("To see the current object, run: medlarhold config show %s %s. Merge your change into it and publish again.", o.Kind, o.Name))
	default:
		reason := ""
		if len(out.Problems) > 0 {
			reason = ": " + out.Problems[0].Reason
		}
		return fail(ExitConflict, trace.CompareFailed("%s %q is not valid together with the changes published in the meantime%s", o.Kind, o.Name, reason),
			"Run the same command again to see the current problems.")
	}
}

// showPublished prints the result for each object.
func (a *App) showPublished(done []published) error {
	t := table{header: []string{"KIND", "NAME", "RESULT", "REVISION"}}
	for _, p := range done {
		result := string(p.Result)
		if p.Unchanged {
			result = "unchanged"
		}
		t.row(p.Current.Kind, p.Current.Name, result, p.Current.Revision)
	}
	return a.show(done, t)
}
