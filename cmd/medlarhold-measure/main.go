// Command medlarhold-measure simulates deployments under a virtual clock with the
// decision core and with baseline policies, and prints the results as Markdown
// tables. It fails if the decision core violates a check.
package main

import (
	"fmt"
	"os"
	"slices"
	"sync"

	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/measure"
)

// options are the command's flags.
type options struct {
	seed        int64
	loads       []float64
	conditions  []string
	policies    []string
	deployments []string
	parallel    int
}

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:          "medlarhold-measure",
		Short:        "Measure the scheduling decisions against baselines under a virtual clock",
		SilenceUsage: true,
		Args:         cobra.NoArgs,
		RunE:         func(*cobra.Command, []string) error { return o.run() },
	}
	f := cmd.Flags()
	f.Int64Var(&o.seed, "seed", 1, "seed of the arrivals")
	f.Float64SliceVar(&o.loads, "load", []float64{0.8, 1, 2, 4}, "loads, as multiples of capacity")
	f.StringSliceVar(&o.conditions, "condition", nil, "conditions (default all)")
	f.StringSliceVar(&o.policies, "policy", nil, "policies (default all)")
	f.StringSliceVar(&o.deployments, "deployment", nil, "deployments (default all)")
	f.IntVar(&o.parallel, "parallel", 3, "number of runs at the same time")
	return cmd
}

func (o *options) run() error {
	violated := false
	for _, d := range measure.Deployments() {
		if !selected(o.deployments, d.Name) {
			continue
		}
		cases := o.measure(d)
		fmt.Printf("\n## %s\n\n", d.Name)
		measure.WriteTable(os.Stdout, cases)
		for i := range cases {
			violated = violated || cases[i].Violated()
		}
	}
	if violated {
		return fmt.Errorf("a check failed: see the columns \"priority inversions\" and \"redispatched\" of %s", measure.CorePolicy)
	}
	return nil
}

// measure runs the selected cases of one deployment, at most o.parallel at the
// same time. Variants of policies run only under the healthy condition.
func (o *options) measure(d measure.Deployment) []measure.Case {
	var cases []measure.Case
	for _, load := range o.loads {
		for _, cond := range measure.Conditions() {
			for _, p := range measure.Policies() {
				if p.Variant && cond != measure.Healthy {
					continue
				}
				if selected(o.conditions, string(cond)) && selected(o.policies, p.Name) {
					cases = append(cases, measure.Case{Deployment: d.Name, Load: load, Condition: cond, Policy: p.Name})
				}
			}
		}
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, o.parallel))
	for i := range cases {
		slots <- struct{}{}
		wg.Go(func() {
			cases[i].Result = measure.Run(d, cases[i].Load, cases[i].Condition, policy(cases[i].Policy), o.seed)
			<-slots
		})
	}
	wg.Wait()
	return cases
}

func policy(name string) measure.Policy {
	all := measure.Policies()
	return all[slices.IndexFunc(all, func(p measure.Policy) bool { return p.Name == name })]
}

// selected reports whether a flag's list names the item or is empty.
func selected(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
