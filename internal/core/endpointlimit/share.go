package endpointlimit

const (
	// localShare is the share of a limit that all instances of a zone together may use
	// while they reach no broker: one may still be granting to others.
	localShare = 0.25
	// minorityShare is the share that a part of a zone that is not the larger one uses of
	// what would be its part of the limit.
	minorityShare = 0.5
	// assumedInstances is the number of instances of a zone that is assumed until it is known.
	assumedInstances = 16
)

// Zone counts the instances of one zone.
type Zone struct {
	// Joined is set once this instance has found the others, or that there are none.
	Joined bool
	// Reachable is the number of instances that this one reaches, itself included. Known
	// is the number of those that may be running.
	Reachable, Known int
}

// Share returns the share of a limit that a broker may use. Of the parts of a zone that
// don't reach each other, one at most is more than half of it and uses the whole limit.
func (z Zone) Share() float64 {
	known := z.size()
	if 2*z.Reachable > known {
		return 1
	}
	return minorityShare * float64(max(1, z.Reachable)) / float64(known)
}

// LocalShare returns the share of a limit that an instance may use that reaches no broker.
func (z Zone) LocalShare() float64 { return localShare / float64(z.size()) }

// size returns the number of instances that may be running, 1 or more.
func (z Zone) size() int {
	n := max(1, z.Known, z.Reachable)
	if !z.Joined {
		n = max(n, assumedInstances)
	}
	return n
}
