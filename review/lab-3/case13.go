package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// reviewRoute is one for patient work: it is on time after 8 s, and may take 30 s.
	reviewRoute = `{"name":"b","host":"h.example","prefix":"/batch/","kind":"unsafe","timeout-ms":30000,"target-latency-ms":8000,"priority":2,"service":"llm","max-attempts":1,"sticky":true}`
	batchLimit  = 30 * time.Second
	batchWork   = 9 * time.Second
	batchEvery  = 300 * time.Millisecond
	batchLength = 14 * time.Second
	// stopAfter is when the instance is told to stop, acceptedFor how long after that it still gets requests.
	stopAfter   = 5 * time.Second
	acceptedFor = 2800 * time.Millisecond
	lossSlack   = 200 * time.Millisecond
)

// plannedStop stops an instance while requests wait there for a free engine.
func plannedStop(l *lab) (broken bool, err error) {
	var mu sync.Mutex
	began := make(map[string]bool) // the requests that an engine has begun
	handle := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		life, _ := e.lifetime()
		mu.Lock()
		began[requestID(r)] = true
		mu.Unlock()
		l.note("%s begins %s", e.id, requestID(r))
		e.stamp(w)
		select {
		case <-time.After(batchWork):
			fmt.Fprint(w, "done")
		case <-life.Done():
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			l.note("%s ends %s, whose channel has ended", e.id, requestID(r))
		}
	}
	l.publishEngines(2, reviewRoute)
	for i := range 2 {
		if _, err := l.addEndpoint(fmt.Sprintf("i-%d", i+1), "llm", "v1", 2, handle); err != nil {
			return false, err
		}
	}
	if err := l.startInstances(); err != nil {
		return false, err
	}
	lost := 0
	send := func(in *instance, i int) {
		r := request{
			id: newRequestID(), method: http.MethodPost, path: "/batch/x", body: fmt.Sprint("job ", i), deadline: batchLimit,
			header: promptHeaders(100, 72, fmt.Sprintf("5afe0001:60,50%06x:40", i)),
		}
		l.note("%s gets %s", in.name, r.id)
		a := in.send(r)
		mu.Lock()
		defer mu.Unlock()
		unanswered := a.status == 0 && a.took > lossSlack && a.took < batchLimit && !began[r.id]
		if unanswered {
			lost++
		}
		l.note("%s: status %d after %d ms, an engine had begun it %v, lost %v, error %v", r.id, a.status, a.took.Milliseconds(), began[r.id], unanswered, a.err)
	}
	stopping := l.instances[0]
	var all sync.WaitGroup
	var stoppedAt time.Time
	start := time.Now()
	for i := 0; time.Since(start) < batchLength; i++ {
		in := l.instances[1+i%2]
		if i%3 == 0 && (stoppedAt.IsZero() || time.Since(stoppedAt) < acceptedFor) {
			in = stopping
		}
		all.Go(func() { send(in, i) })
		time.Sleep(batchEvery)
		if stoppedAt.IsZero() && time.Since(start) > stopAfter {
			stoppedAt = time.Now()
			if troubled() {
				l.note("SIGTERM to %s", stopping.name)
				_ = stopping.cmd.Process.Signal(syscall.SIGTERM) // its end shows in the record
			}
		}
	}
	all.Wait()
	l.say("%d requests ended without an answer that no engine had begun, 0 are allowed", lost)
	return lost > 0, nil
}
