package measure

import (
	"github.com/medlarhold/medlarhold/internal/core/admission"
	"github.com/medlarhold/medlarhold/internal/core/routing"
)

// Policy is a scheduler that can be measured.
type Policy struct {
	Name string
	make func(*run) policy
}

// Ours is the name of the decision core as it stands.
const Ours = "medlarhold"

// Policies returns the decision core and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "round-robin", make: newRoundRobin},
		{Name: "two choices", make: newTwoChoices},
		{Name: "least outstanding", make: newLeastOutstanding},
		{Name: Ours, make: func(r *run) policy {
			return newCluster(r, admission.DefaultSettings(), routing.DefaultSettings())
		}},
	}
}
