package config

import (
	"regexp"
	"slices"
	"strconv"
)

// Bounds of what a document may say.
const (
	// DeploymentName is the name of the one deployment object.
	DeploymentName = "default"
	// MaxTiers bounds the tiers of a deployment.
	MaxTiers = 16
	// MaxKeys bounds the keys of one organisation.
	MaxKeys = 16
	// MaxListLength bounds any list of names.
	MaxListLength = 256
	// MaxLabels bounds the work labels of one organisation.
	MaxLabels = 32
	// MaxBodyBytes bounds what a pool may allow for a request's body.
	MaxBodyBytes = 64 << 20
	// MaxSlots bounds the requests that run on an endpoint at the same time.
	MaxSlots = 4096
)

// namePattern is what names of objects, tiers and zones look like.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// checkName returns a problem if the name can't be one.
func checkName(path, name string) []fieldProblem {
	if namePattern.MatchString(name) {
		return nil
	}
	return []fieldProblem{problemf(path, "%q is no name: letters, digits, '.', '_' and '-', at most 64", abbreviate(name))}
}

// checkList checks that the names are names and that none stands twice.
func checkList[T ~string](path string, names []T) []fieldProblem {
	if len(names) > MaxListLength {
		return []fieldProblem{problemf(path, "at most %d names", MaxListLength)}
	}
	var out []fieldProblem
	for i, n := range names {
		at := path + "/" + strconv.Itoa(i)
		out = append(out, checkName(at, string(n))...)
		if slices.Contains(names[:i], n) {
			out = append(out, problemf(at, "%q stands twice", n))
		}
	}
	return out
}

// checkShare checks a number from 0 to 1.
func checkShare(path string, v float64) []fieldProblem {
	if v >= 0 && v <= 1 {
		return nil
	}
	return []fieldProblem{problemf(path, "must be from 0 to 1")}
}
