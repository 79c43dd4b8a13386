package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// check implements document.
func (c *Contract) check(s State) []fieldProblem {
	out := c.checkTiers(s)
	if !(c.RequestsPerSec > 0) || math.IsInf(c.RequestsPerSec, 0) {
		out = append(out, problemf("/requests_per_sec", "must be more than 0"))
	}
	if c.Burst < 1 {
		out = append(out, problemf("/burst", "must be at least 1"))
	}
	if c.MaxConcurrent < 1 {
		out = append(out, problemf("/max_concurrent", "must be at least 1"))
	}
	out = append(out, checkList("/lose_first", c.ShedOrder)...)
	if len(c.ShedOrder) > MaxLabels {
		out = append(out, problemf("/lose_first", "must have at most %d labels", MaxLabels))
	}
	return append(out, c.checkKeys(s)...)
}

// checkTiers checks the tiers that the contract names.
func (c *Contract) checkTiers(s State) []fieldProblem {
	out := checkList("/tiers", c.Tiers)
	if len(c.Tiers) == 0 {
		out = append(out, problemf("/tiers", "must name at least one tier"))
	}
	for i, t := range c.Tiers {
		if _, ok := s.Tier(t); !ok {
			out = append(out, problemf(fmt.Sprintf("/tiers/%d", i), "the deployment has no tier %q", t))
		}
	}
	if c.DefaultTier != "" && !slices.Contains(c.Tiers, c.DefaultTier) {
		out = append(out, problemf("/default_tier", "%q is not among the contract's tiers", c.DefaultTier))
	}
	return out
}

// checkKeys checks the hashes of the contract's keys.
func (c *Contract) checkKeys(s State) []fieldProblem {
	var out []fieldProblem
	if len(c.KeyHashes) > MaxKeys {
		out = append(out, problemf("/key_hashes", "must have at most %d keys", MaxKeys))
	}
	for i, h := range c.KeyHashes {
		at := "/key_hashes/" + strconv.Itoa(i)
		sum, ok := parseKeyHash(h)
		if !ok {
			out = append(out, problemf(at, "must be the SHA-256 of a key, 64 lower-case hex digits"))
			continue
		}
		if slices.Contains(c.KeyHashes[:i], h) {
			out = append(out, problemf(at, "duplicate key"))
		}
		if other, ok := s.ContractByKeyHash(sum); ok && other.Organisation != c.Organisation {
			out = append(out, problemf(at, "key already belongs to %q", other.Organisation))
		}
	}
	return out
}

// checkDelete implements document.
func (c *Contract) checkDelete(State) []fieldProblem { return nil }

// parseKeyHash decodes the SHA-256 hash of a key from lower-case hex digits.
func parseKeyHash(s string) ([sha256.Size]byte, bool) {
	var sum [sha256.Size]byte
	var digits [2 * sha256.Size]byte
	if len(s) != len(digits) || strings.ToLower(s) != s {
		return sum, false
	}
	copy(digits[:], s)
	_, err := hex.Decode(sum[:], digits[:])
	return sum, err == nil
}

// hasKeyHash reports whether the contract has the key with that hash. It
// compares all of the contract's hashes, each in constant time.
func (c *Contract) hasKeyHash(sum [sha256.Size]byte) bool {
	found := 0
	for _, h := range c.KeyHashes {
		keyHash, _ := parseKeyHash(h)
		found |= subtle.ConstantTimeCompare(keyHash[:], sum[:])
	}
	return found == 1
}
