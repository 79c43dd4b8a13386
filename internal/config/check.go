package config

import (
	"regexp"
	"slices"
	"strconv"
)

// Limits of the values in a document.
const (
	// DeploymentName is the name of the only deployment object.
	DeploymentName = "default"
	// MaxTiers is the maximum number of tiers of a deployment.
	MaxTiers = 16
	// MaxKeys is the maximum number of keys of one organisation.
	MaxKeys = 16
	// MaxListLength is the maximum length of any list of names.
	MaxListLength = 256
	// MaxLabels is the maximum number of work labels of one organisation.
	MaxLabels = 32
	// MaxBodyBytes is the largest request body that a pool may allow.
	MaxBodyBytes = 64 << 20
	// MaxSlots is the maximum number of requests that run on an endpoint at the same time.
	MaxSlots = 4096
)

// namePattern matches valid names of objects, tiers and zones.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// checkName returns a problem if the name is not valid.
func checkName(path, name string) []fieldProblem {
	if namePattern.MatchString(name) {
		return nil
	}
	return []fieldProblem{problemf(path, "%q is not a valid name: letters, digits, '.', '_' and '-', at most 64 characters", abbreviate(name))}
}

// checkList checks that the names are valid and that none is repeated.
func checkList[T ~string](path string, names []T) []fieldProblem {
	if len(names) > MaxListLength {
		return []fieldProblem{problemf(path, "must have at most %d names", MaxListLength)}
	}
	var out []fieldProblem
	for i, n := range names {
		at := path + "/" + strconv.Itoa(i)
		out = append(out, checkName(at, string(n))...)
		if slices.Contains(names[:i], n) {
			out = append(out, problemf(at, "duplicate name %q", n))
		}
	}
	return out
}

// checkShare checks that the number is from 0 to 1.
func checkShare(path string, v float64) []fieldProblem {
	if v >= 0 && v <= 1 {
		return nil
	}
	return []fieldProblem{problemf(path, "must be from 0 to 1")}
}
