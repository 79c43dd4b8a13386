// Command histories runs seeded simulations of a fleet of decision cores under faults,
// and checks the system's guarantees in each. It is a test tool.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/fleet"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// options are the command's flags.
type options struct {
	seeds, from, seed int64
	minutes           float64
	trace             bool
	workers           int
}

// errViolation is returned if a simulation violated a guarantee.
var errViolation = errors.New("a simulation violated a guarantee")

func main() {
	var o options
	cmd := &cobra.Command{
		Use: "histories", Short: "Run seeded simulations under faults and check the guarantees",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.seed != 0 {
				return replay(cmd.OutOrStdout(), o)
			}
			return runMany(cmd.OutOrStdout(), o)
		},
	}
	fl := cmd.Flags()
	fl.Int64Var(&o.seeds, "seeds", 1000, "number of simulations; 0 for as many as --minutes allows")
	fl.Int64Var(&o.from, "from", 0, "first seed; 0 derives it from the current time")
	fl.Float64Var(&o.minutes, "minutes", 0, "stop after this many minutes; 0 for no limit")
	fl.Int64Var(&o.seed, "seed", 0, "run only this seed")
	fl.BoolVar(&o.trace, "trace", false, "with --seed, print every event and message")
	fl.IntVar(&o.workers, "workers", runtime.GOMAXPROCS(0), "number of simulations that run in parallel")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "histories:", err)
		os.Exit(1)
	}
}

func replay(out io.Writer, o options) error {
	w := bufio.NewWriter(out)
	defer w.Flush()
	var fo fleet.Options
	if o.trace {
		fo.Trace = w
	}
	r := fleet.Run(o.seed, fo)
	fmt.Fprint(w, r)
	if len(r.Violations) > 0 {
		return errViolation
	}
	return nil
}

// tally adds up the results of many simulations. It is safe for concurrent use.
type tally struct {
	mu                            sync.Mutex
	next, end                     int64
	until                         time.Time
	histories, requests, messages int
	failedSeeds                   []int64
	faults                        map[fleet.Fault]int
	guarantees                    map[history.Guarantee]int
	outcomes                      map[verdict.Reason]int
}

func runMany(out io.Writer, o options) error {
	if o.from == 0 {
		o.from = time.Now().UnixNano() / int64(time.Microsecond)
	}
	t := &tally{next: o.from, end: o.from + o.seeds, faults: map[fleet.Fault]int{},
		guarantees: map[history.Guarantee]int{}, outcomes: map[verdict.Reason]int{}}
	if o.minutes > 0 {
		t.until = time.Now().Add(time.Duration(o.minutes * float64(time.Minute)))
	}
	var wg sync.WaitGroup
	for range o.workers {
		wg.Go(func() {
			for seed, ok := t.seed(o); ok; seed, ok = t.seed(o) {
				t.add(out, fleet.Run(seed, fleet.Options{}))
			}
		})
	}
	wg.Wait()
	t.print(out, o.from)
	if len(t.failedSeeds) > 0 {
		return errViolation
	}
	return nil
}

// seed returns the next seed, or false if there are no more.
func (t *tally) seed(o options) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.seeds > 0 && t.next >= t.end || !t.until.IsZero() && time.Now().After(t.until) {
		return 0, false
	}
	t.next++
	return t.next - 1, true
}

// maxReports is the number of failures that are printed in full.
const maxReports = 10

func (t *tally) add(out io.Writer, r fleet.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.histories++
	t.requests += r.Requests
	t.messages += r.Messages
	for _, k := range r.Kinds {
		t.faults[k]++
	}
	for reason, n := range r.Outcomes {
		t.outcomes[reason] += n
	}
	for _, v := range r.Violations {
		t.guarantees[v.Guarantee]++
	}
	if len(r.Violations) > 0 {
		t.failedSeeds = append(t.failedSeeds, r.Seed)
		if len(t.failedSeeds) <= maxReports {
			fmt.Fprint(out, r)
		}
	}
}

func (t *tally) print(out io.Writer, from int64) {
	fmt.Fprintf(out, "%d histories from seed %d: %d requests, %d messages between instances\n", t.histories, from, t.requests, t.messages)
	fmt.Fprintln(out, "faults:")
	printCounts(out, t.faults)
	fmt.Fprintln(out, "answers by reason (complete answers have none):")
	printCounts(out, t.outcomes)
	fmt.Fprintf(out, "histories that violate a guarantee: %d\n", len(t.failedSeeds))
	printCounts(out, t.guarantees)
	if len(t.failedSeeds) > 0 {
		fmt.Fprintf(out, "seeds: %v\n", t.failedSeeds[:min(len(t.failedSeeds), 4*maxReports)])
	}
}

func printCounts[K ~string](out io.Writer, counts map[K]int) {
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "  %8d %s\n", counts[k], k)
	}
}
