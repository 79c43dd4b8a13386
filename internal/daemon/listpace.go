package daemon

import (
	mathrand "math/rand"
	"time"
)

const (
	// listBytesPerSec is what reading the platform's list may take on average.
	// The list names the whole fleet, so the pause between reads grows with it.
	listBytesPerSec = 200
	// searchBytesPerSec is the same for an instance that looks for peers.
	searchBytesPerSec = 2000
	// listRowBytes is about the length of one row of the list.
	listRowBytes = 130
	// minListInterval and maxListInterval bound the pause between two reads.
	minListInterval = 2 * time.Second
	maxListInterval = 10 * time.Minute
	// searchFor is how long after its start an instance looks for peers.
	searchFor = 20 * time.Second
)

// listInterval returns the pause after a read of a list of so many rows. What
// an instance misses meanwhile it hears from its peers: instances of a zone
// probe each other, links between zones compare digests, and the instances of
// a zone read the list at different times. An instance that has just started,
// or knows no peer in its zone, looks for peers and reads more often.
func listInterval(rows int, searching bool) time.Duration {
	perSec := listBytesPerSec
	if searching {
		perSec = searchBytesPerSec
	}
	d := time.Duration(rows*listRowBytes) * time.Second / time.Duration(perSec)
	return min(max(d, minListInterval), maxListInterval)
}

// jittered spreads a pause from half to one and a half of it.
func jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(mathrand.Int63n(int64(d)))
}
