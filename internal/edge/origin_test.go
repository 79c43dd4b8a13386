package edge

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

func TestFirstEventIsHeldUntilItsOriginIsRecorded(t *testing.T) {
	sent := make(chan struct{})
	e := startEndpoint(t, func(conn net.Conn, req *http.Request, body string) {
		respondChunked(true, "id: 1\n\n")(conn, req, body)
		close(sent)
	})
	sched := newFakeScheduler(e)
	sched.recorded = make(chan struct{})
	got := make(chan reply, 1)
	go func() { got <- send(t, sched, "/resumable/", "", nil) }()
	<-sent
	select {
	case r := <-got:
		t.Fatalf("got response %+v before the origin was recorded", r)
	case <-time.After(50 * time.Millisecond):
	}
	close(sched.recorded)
	if r := <-got; r.body != "id: 1\n\n" {
		t.Errorf("got body %q, want event 1", r.body)
	}
}

func TestStreamOfARestartedEndpointBeginsElsewhere(t *testing.T) {
	first := startEndpoint(t, respondChunked(true, "id: 1\ndata: old\n\n", "id: 2\ndata: old\n\n"))
	second := startEndpoint(t, respondChunked(true, "id: 1\ndata: new\n\n", "id: 2\ndata: new\n\n"))
	sched := newFakeScheduler(first, second)
	sched.restarted = []entity.EndpointID{first.ID}
	want := "id: 1\ndata: new\n\nid: 2\ndata: new\n\n"
	if r := send(t, sched, "/resumable/", "", nil); r.err != nil || r.body != want {
		t.Errorf("got body %q and error %v, want the stream of the second endpoint alone", r.body, r.err)
	}
}

func TestStreamIsTakenUpAtItsVersion(t *testing.T) {
	tests := []struct {
		name    string
		header  http.Header
		status  int
		version string
	}{
		{"named", http.Header{"Last": {"7"}, "Begun-By": {"begun"}}, http.StatusOK, "v9"},
		{"not named", http.Header{"Last": {"7"}}, http.StatusServiceUnavailable, ""},
		{"of a stream that does not exist", http.Header{"Last": {"7"}, "Begun-By": {"none"}}, http.StatusServiceUnavailable, ""},
		{"new, although it names one", http.Header{"Begun-By": {"begun"}}, http.StatusOK, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sched := newFakeScheduler(startEndpoint(t, respondChunked(true, "id: 8\n\n")))
			sched.origins = map[entity.RequestID]string{"begun": "v9"}
			r := send(t, sched, "/resumable/", "", func(r *http.Request) {
				for name, values := range tt.header {
					r.Header[name] = values
				}
			})
			if r.status != tt.status {
				t.Errorf("got status %d, want %d", r.status, tt.status)
			}
			if tt.status != http.StatusOK {
				if sched.charged != 0 || len(sched.slotRequests) > 0 {
					t.Errorf("charged %v and asked for %d slots for a refused request, want neither", sched.charged, len(sched.slotRequests))
				}
				return
			}
			if got := sched.slotRequests[0].Version; got != tt.version {
				t.Errorf("asked for a slot at version %q, want %q", got, tt.version)
			}
		})
	}
}

// The endpoint that breaks off is of one version, those that could go on of another.
func TestAnswerGoesOnAtItsVersionOnly(t *testing.T) {
	first := startEndpoint(t, respondChunked(false, "id: 1\n\n"))
	sched := newFakeScheduler(first, startEndpoint(t, respondChunked(true, "id: 2\n\n")))
	send(t, sched, "/resumable/", "", nil)
	var versions []string
	for _, r := range sched.slotRequests {
		versions = append(versions, r.Version)
	}
	if !slices.Equal(versions, []string{"", fixtureVersion}) {
		t.Errorf("asked for slots at versions %q, want any and then that of the first endpoint", versions)
	}
}

// The endpoint that began a stream turns out to have restarted with another version meanwhile: the running answer
// goes on nowhere (ORDER).
func TestAnswerWhoseOriginIsInDoubtGoesOnNowhere(t *testing.T) {
	first := startEndpoint(t, respondChunked(false, "id: 1\n\n"))
	sched := newFakeScheduler(first, startEndpoint(t, respondChunked(true, "id: 2\n\n")))
	sched.inDoubt = true
	r := send(t, sched, "/resumable/", "", nil)
	if r.err == nil || r.body != "id: 1\n\n" {
		t.Errorf("got body %q and error %v, want the first event and an answer that breaks off", r.body, r.err)
	}
	if len(sched.slotRequests) != 1 {
		t.Errorf("asked for %d slots, want 1", len(sched.slotRequests))
	}
}
