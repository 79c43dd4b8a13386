package cli

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/logs"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// explainCommand reconstructs from log files how a request was handled.
func (a *App) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID [FILE...]",
		Short: "Show the outcome of a request from log files",
		Long: "Reads the log lines of any number of instances, from files or from standard input, shows those of\n" +
			"one request in order of time, and summarises what happened and what is not known.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return a.explain(entity.RequestID(args[0]), args[1:]) },
	}
}

func (a *App) explain(id entity.RequestID, files []string) error {
	var lines []*logs.Line
	err := a.readLogs(files, func(l *logs.Line) {
		if l.Request == id {
			lines = append(lines, l)
		}
	})
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fail(ExitFailure, trace.NotFound("no log line mentions request %s", id),
			"Specify the logs of all instances: the one that the caller reached writes a line at the end of each request. "+
				"If there is none, that instance was killed or dropped lines (event 1008).")
	}
	slices.SortStableFunc(lines, func(x, y *logs.Line) int { return x.Time.Compare(y.Time) })
	if a.flags.output == outputJSON {
		return a.showJSON(struct {
			Request entity.RequestID `json:"request"`
			Steps   []string         `json:"steps"`
			Summary string           `json:"summary"`
			Advice  string           `json:"advice,omitempty"`
		}{id, steps(lines), summary(lines), adviceFor(lines)})
	}
	for _, l := range lines {
		fmt.Fprintln(a.Out, l.Raw)
	}
	fmt.Fprintln(a.Out)
	for _, step := range steps(lines) {
		fmt.Fprintln(a.Out, step)
	}
	fmt.Fprintf(a.Out, "\n%s\n", summary(lines))
	if s := adviceFor(lines); s != "" {
		fmt.Fprintln(a.Out, s)
	}
	return nil
}

// steps describes each line in words, with the time since the first.
func steps(lines []*logs.Line) []string {
	var out []string
	for _, l := range lines {
		step := fmt.Sprintf("%+6d ms  %s: %s", l.Time.Sub(lines[0].Time).Milliseconds(), l.Source, messageOf(l))
		if l.Endpoint != "" {
			step += ", endpoint " + string(l.Endpoint)
		}
		if l.Reason != "" {
			step += ", reason " + string(l.Reason)
		}
		out = append(out, step)
	}
	return out
}

// messageOf returns the message of the line's event in the catalogue. A line of another
// version of the program may have an event that this one doesn't know.
func messageOf(l *logs.Line) string {
	return cmp.Or(telemetry.MessageOf(l.Event), l.Message)
}

// adviceFor says where to look next, given the last line that has a reason.
func adviceFor(lines []*logs.Line) string {
	for _, l := range slices.Backward(lines) {
		if l.Reason != "" {
			return advice[l.Reason]
		}
	}
	return ""
}

// summary describes in one sentence what the lines show.
func summary(lines []*logs.Line) string {
	var end *logs.Line
	var failed []string
	for _, l := range lines {
		switch l.Event {
		case telemetry.EventCallEnded.ID:
			end = l
		case telemetry.EventEndpointFailed.ID:
			failed = append(failed, fmt.Sprintf("%s (%s)", l.Endpoint, l.Reason))
		}
	}
	if end == nil {
		return "The request was still in progress at the end of the logs; its outcome is not known. The instance was killed, or its last lines are missing."
	}
	return fmt.Sprintf("After %d ms, under configuration %d, %s.%s", end.Millis, end.Config, outcome(end), attempts(end, failed))
}

// outcome describes how a request ended.
func outcome(l *logs.Line) string {
	switch {
	case l.Verdict == verdict.Ran && l.Status < 400:
		return fmt.Sprintf("endpoint %s answered the request with status %d", l.Endpoint, l.Status)
	case l.Verdict == verdict.Ran:
		return fmt.Sprintf("endpoint %s ran the request and answered with the error status %d, which was passed on to the caller", l.Endpoint, l.Status)
	case l.Verdict == verdict.NotRun && l.RetryAfter > 0:
		return fmt.Sprintf("the request was refused (%s: %s), was not run, and its caller was told to retry after %d ms", l.Reason, l.Why, l.RetryAfter)
	case l.Verdict == verdict.NotRun:
		return fmt.Sprintf("the request was refused (%s: %s) and was not run", l.Reason, l.Why)
	}
	return fmt.Sprintf("the request failed (%s: %s); whether an endpoint completed it is not known from these logs", l.Reason, l.Why)
}

// attempts describes to how many endpoints a request was sent and which failed.
func attempts(l *logs.Line, failed []string) string {
	if len(l.Tried) == 0 {
		return " It was not sent to any endpoint."
	}
	s := fmt.Sprintf(" It was sent to %d endpoint(s).", len(l.Tried))
	if len(failed) > 0 {
		s += " Endpoints that failed: " + strings.Join(failed, ", ") + "."
	}
	return s
}
