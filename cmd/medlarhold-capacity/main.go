// Command medlarhold-capacity measures what the control plane costs an instance
// (traffic, processor time and memory) and rewrites the measured tables of
// docs/CAPACITY.md. It runs the programs and the simulated services on loopback and is
// for measurements only.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// options are the command's flags, which select what is measured.
type options struct {
	page     string
	sizes    []int
	states   []int
	seconds  int
	settle   int
	noBench  bool
	noFleet  bool
	noStates bool
	perZone  int
}

func (o options) window() time.Duration { return time.Duration(o.seconds) * time.Second }

func main() {
	var o options
	cmd := &cobra.Command{
		Use:           "medlarhold-capacity",
		Short:         "Measure the cost of control traffic and work, and update the tables of docs/CAPACITY.md",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), o) },
	}
	f := cmd.Flags()
	f.StringVar(&o.page, "page", "docs/CAPACITY.md", "page whose tables are updated; if empty, the tables are printed")
	f.IntSliceVar(&o.sizes, "sizes", []int{6, 14, 31}, "numbers of instances in one zone")
	f.IntSliceVar(&o.states, "states", []int{1000, 5000, 19000}, "numbers of contracts in force")
	f.IntVar(&o.seconds, "seconds", 15, "length of each window in seconds")
	f.IntVar(&o.settle, "settle", 25, "pause in seconds before the first window")
	f.IntVar(&o.perZone, "per-zone", 6, "number of instances in each zone of the run with two zones; 0 skips that run")
	f.BoolVar(&o.noBench, "no-bench", false, "skip the benchmarks")
	f.BoolVar(&o.noFleet, "no-fleet", false, "skip the runs with processes")
	f.BoolVar(&o.noStates, "no-states", false, "skip the runs with large configurations")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := cmd.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "medlarhold-capacity:", trace.UserMessage(err))
		os.Exit(1)
	}
}

// run measures and writes each table as soon as it is complete.
func run(ctx context.Context, o options) error {
	p := &page{path: o.page, commit: commit()}
	if !o.noBench {
		rows, err := benchmarks(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := p.replace("slopes", slopeTable(rows)); err != nil {
			return trace.Wrap(err)
		}
	}
	programs, cleanup, err := build()
	if err != nil {
		return trace.Wrap(err)
	}
	defer cleanup()
	if !o.noFleet {
		results, err := measureFleets(ctx, o, programs)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := p.replace("processes", phaseTable(results)); err != nil {
			return trace.Wrap(err)
		}
	}
	if !o.noStates {
		results, err := measureStates(ctx, o, programs)
		if err != nil {
			return trace.Wrap(err)
		}
		return trace.Wrap(p.replace("states", stateTable(results)))
	}
	return nil
}

// pause waits for d, or returns early with an error when the run is stopped.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-time.After(d):
		return nil
	}
}

// commit returns the name of the checked-out commit, with a mark if files differ
// from it.
func commit() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty", "--exclude=*").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
