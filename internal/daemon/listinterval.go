package daemon

import (
	mathrand "math/rand"
	"time"
)

const (
	// listBytesPerSec bounds the average traffic of reading the platform's
	// list. The list contains the whole fleet, so the interval between reads
	// grows with the size of the fleet.
	listBytesPerSec = 200
	// searchBytesPerSec is the same bound for an instance that searches for peers.
	searchBytesPerSec = 2000
	// listRowBytes is the approximate length of one row of the list.
	listRowBytes = 130
	// minListInterval and maxListInterval bound the interval between two reads.
	minListInterval = 2 * time.Second
	maxListInterval = 10 * time.Minute
	// searchDuration is how long an instance searches for peers after its start.
	searchDuration = 20 * time.Second
)

// listInterval returns the interval until the next read after a read of the given
// number of rows. Changes of the list in the meantime reach the instance through
// its peers: the instances of a zone probe each other and read the list at
// different times, and links between zones compare digests. An instance that has
// just started, or knows no peer in its zone, is searching for peers and reads
// more often.
func listInterval(rows int, searching bool) time.Duration {
	perSec := listBytesPerSec
	if searching {
		perSec = searchBytesPerSec
	}
	d := time.Duration(rows*listRowBytes) * time.Second / time.Duration(perSec)
	return min(max(d, minListInterval), maxListInterval)
}

// jittered returns a random duration between 0.5 d and 1.5 d.
func jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(mathrand.Int63n(int64(d)))
}
