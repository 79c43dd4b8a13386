package admission

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// reservationWithSeq returns a reservation for w with sequence number n.
func reservationWithSeq(w entity.Work, n uint32) entity.Reservation {
	r := reservation(w)
	r.Seq = n
	return r
}

// The reservation to resume a stream can arrive before the release that paused
// it. The owner then pauses the stream when it receives the reservation, and must
// ignore the late release: otherwise it would free the slot of the new grant.
func TestLateReleaseDoesNotFreeLaterGrant(t *testing.T) {
	o, now := settledOwner(engine("e", 1))
	o.HandleReservation(now, reservationWithSeq(work("low", 2), 1))
	expect(t, o, "grant low e")
	resume := reservationWithSeq(work("low", 2), 2)
	resume.Resume = "e"
	o.HandleReservation(now, resume)
	expect(t, o, "grant low e")
	o.HandleRelease(now, entity.Release{ID: "low", Seq: 1, Endpoint: "e", Paused: true})
	o.HandleReservation(now.Add(time.Millisecond), reservationWithSeq(work("other", 2), 1))
	expect(t, o)
	o.HandleRelease(now, entity.Release{ID: "low", Seq: 2, Endpoint: "e"})
	expect(t, o, "grant other e")
}

// A withdrawal that arrives late cancels no reservation that was sent after it.
func TestLateWithdrawalKeepsLaterReservation(t *testing.T) {
	o, now := settledOwner(engine("e", 1))
	o.HandleReservation(now, reservationWithSeq(work("running", 1), 1))
	o.HandleReservation(now, reservationWithSeq(work("waiting", 1), 1))
	o.HandleReservation(now, reservationWithSeq(work("waiting", 1), 2))
	expect(t, o, "grant running e")
	o.HandleWithdraw(now, "waiting", 1)
	o.HandleRelease(now, entity.Release{ID: "running", Seq: 1, Endpoint: "e"})
	expect(t, o, "grant waiting e")
}
