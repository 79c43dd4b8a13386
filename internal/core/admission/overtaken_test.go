package admission

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// numbered is a question of the request with that number.
func numbered(w entity.Work, n uint32) entity.Reservation {
	r := ask(w)
	r.Seq = n
	return r
}

// A question to resume that comes before the release of the pause ends what
// the release would have ended; the late release changes nothing.
func TestLateReleaseDoesNotFreeALaterGrant(t *testing.T) {
	o, now := settled(engine("e", 1))
	o.Reserve(now, numbered(work("low", 2), 1))
	expect(t, o, "grant low e")
	resume := numbered(work("low", 2), 2)
	resume.Resume = "e"
	o.Reserve(now, resume)
	expect(t, o, "grant low e")
	o.Release(now, entity.Release{ID: "low", Seq: 1, Endpoint: "e", Paused: true})
	o.Reserve(now.Add(time.Millisecond), numbered(work("other", 2), 1))
	expect(t, o)
	o.Release(now, entity.Release{ID: "low", Seq: 2, Endpoint: "e"})
	expect(t, o, "grant other e")
}

// A withdrawal takes back no question that was asked after it.
func TestLateWithdrawalLeavesALaterQuestion(t *testing.T) {
	o, now := settled(engine("e", 1))
	o.Reserve(now, numbered(work("running", 1), 1))
	o.Reserve(now, numbered(work("waiting", 1), 1))
	o.Reserve(now, numbered(work("waiting", 1), 2))
	expect(t, o, "grant running e")
	o.Withdraw(now, "waiting", 1)
	o.Release(now, entity.Release{ID: "running", Seq: 1, Endpoint: "e"})
	expect(t, o, "grant waiting e")
}
