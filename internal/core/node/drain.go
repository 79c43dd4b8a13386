package node

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// drain begins the planned stop: peers are told, and own nothing new here.
func (n *Node) drain(now time.Time) {
	n.draining = true
	n.members.Leave(now)
}

// sortedKeys returns the keys of a map in order, so that loops are deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
