package fleet

import (
	"fmt"
	"strings"
)

// String returns a report with the faults, the violations and the command that repeats
// the simulation.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d requests, %d violations\n", r.Seed, r.Requests, len(r.Violations))
	for _, f := range r.Faults {
		fmt.Fprintf(&b, "  fault: %s\n", f)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "  %s at %.4fs request=%s endpoint=%s instance=%s: %s\n",
			v.Guarantee, v.At.Sub(epoch).Seconds(), v.Request, v.Endpoint, v.Instance, v.Message)
	}
	fmt.Fprintf(&b, "  replay: go run ./internal/fleet/histories --seed %d --trace\n", r.Seed)
	return b.String()
}
