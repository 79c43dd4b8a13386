package config

import (
	"slices"
)

// check implements document.
func (d *Deployment) check(s State) []fieldProblem {
	out := checkList("/tiers", d.Tiers)
	if len(d.Tiers) == 0 || len(d.Tiers) > MaxTiers {
		out = append(out, problemf("/tiers", "must name 1 to %d tiers", MaxTiers))
	}
	out = append(out, checkShare("/scores/goodput", d.Scores.Goodput)...)
	out = append(out, checkShare("/scores/wasted_prefill", d.Scores.WastedPrefill)...)
	for _, t := range s.Deployment().Tiers {
		if slices.Contains(d.Tiers, t) {
			continue
		}
		if org, used := s.tierUser(t); used {
			out = append(out, problemf("/tiers", "tier %q is used by the contract of %q", t, org))
		}
	}
	return out
}

// checkDelete implements document.
func (d *Deployment) checkDelete(State) []fieldProblem {
	return []fieldProblem{problemf("", "the deployment can't be deleted")}
}
