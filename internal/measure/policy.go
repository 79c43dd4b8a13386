package measure

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/admission"
	"github.com/medlarhold/medlarhold/internal/core/routing"
)

// Policy names a scheduler that can be measured.
type Policy struct {
	Name string
	// Variant marks an earlier version of the core, which is measured in healthy
	// runs only.
	Variant bool
	make    func(*run) policy
}

// CorePolicy is the name of the policy that runs the present decision core.
const CorePolicy = "medlarhold"

// Policies returns the decision core and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "round-robin", make: newRoundRobin},
		{Name: "two choices", make: newTwoChoices},
		{Name: "least outstanding", make: newLeastOutstanding},
		{Name: CorePolicy, make: func(r *run) policy {
			return newCluster(r, admission.DefaultSettings(), routing.DefaultSettings())
		}},
		{Name: "earlier: long prefill lines", Variant: true, make: unboundedPrefillBacklog},
		{Name: "earlier: moves at once", Variant: true, make: unboundedMoveSlack},
	}
}

// unboundedPrefillBacklog grants prompts regardless of the prompts that an engine is
// still processing.
func unboundedPrefillBacklog(r *run) policy {
	s := admission.DefaultSettings()
	s.MaxPrefillBacklog = time.Hour
	return newCluster(r, s, routing.DefaultSettings())
}

// unboundedMoveSlack lets requests go to any owner with a free slot, regardless of where
// their prompt is cached.
func unboundedMoveSlack(r *run) policy {
	s := routing.DefaultSettings()
	s.MoveSlack = time.Hour
	return newCluster(r, admission.DefaultSettings(), s)
}
