package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Run sends the requests of a plan and returns the report once all of them have ended. Each answer
// is written to journal as one line of JSON; journal may be nil. If ctx ends, no further requests
// are sent.
func Run(ctx context.Context, s Settings, journal io.Writer) (Report, error) {
	if err := s.Check(); err != nil {
		return Report{}, trace.Wrap(err)
	}
	s = s.withDefaults()
	r := newRunner(s, journal)
	defer r.pooled.CloseIdleConnections()
	started := time.Now()
	for _, a := range Plan(s) {
		if !waitUntil(ctx, started.Add(a.Due)) {
			break
		}
		r.send(ctx, a, started.Add(a.Due))
	}
	r.inFlight.Wait()
	return r.report.result(time.Since(started)), trace.Wrap(r.journalErr)
}

type runner struct {
	settings Settings
	// net/http sends a request again by itself if a reused connection fails, unless the request
	// has a body that it cannot rewind. Requests with a body therefore share pooled connections;
	// those without one use unpooled, which opens a connection for each.
	pooled, unpooled *http.Transport
	inFlight         sync.WaitGroup
	slots            chan struct{}

	mu         sync.Mutex
	report     *collector
	journal    *json.Encoder
	journalErr error
}

func newRunner(s Settings, journal io.Writer) *runner {
	r := &runner{
		settings: s,
		pooled:   &http.Transport{MaxIdleConnsPerHost: s.MaxInFlight, DisableCompression: true},
		unpooled: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		slots:    make(chan struct{}, s.MaxInFlight),
		report:   newCollector(),
	}
	if journal != nil {
		r.journal = json.NewEncoder(journal)
	}
	return r
}

// waitUntil waits until t. It returns false if ctx ends first.
func waitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends a request in a goroutine of its own. If MaxInFlight requests are in flight, it
// records the request as not sent instead.
func (r *runner) send(ctx context.Context, a Arrival, due time.Time) {
	c := &caller{
		client:   r.client(a),
		settings: r.settings,
		arrival:  a,
		answer: &Answer{
			Number: a.Number, Profile: a.Profile.Name, Tier: a.Profile.Tier, Target: a.Target, Key: a.Key, Due: due,
		},
	}
	select {
	case r.slots <- struct{}{}:
	default:
		c.answer.Error = "not sent: too many requests in flight"
		r.recordAnswer(c)
		return
	}
	r.inFlight.Go(func() {
		defer func() { <-r.slots }()
		c.run(ctx)
		r.recordAnswer(c)
	})
}

// client returns a client that sends the request only once and follows no redirect.
func (r *runner) client(a Arrival) *http.Client {
	transport := r.pooled
	if a.Profile.Call != nil && a.Profile.Call.Body == "" {
		transport = r.unpooled
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// recordAnswer adds an answer to the report and the journal.
func (r *runner) recordAnswer(c *caller) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(c.answer, c.gaps)
	if r.journal != nil && r.journalErr == nil {
		r.journalErr = r.journal.Encode(c.answer)
	}
}
