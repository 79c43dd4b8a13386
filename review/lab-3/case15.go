package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	recoverS     = 12 * time.Second
	calmLength   = 4 * time.Second
	judgedLength = 10 * time.Second
	probeEvery   = 100 * time.Millisecond
	probeLimit   = 5 * time.Second
)

// zoneWithoutInstances ends the only instance in the zone of all engines for good.
func zoneWithoutInstances(l *lab) (broken bool, err error) {
	handle := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		e.streamEvents(w, r, answerEvents, answerInterval)
	}
	l.publishEngines(9, narrativeRoute)
	for i := range 3 {
		if _, err := l.addEndpoint(fmt.Sprintf("i-%d", i+1), "llm", "zb", "v1", 9, handle); err != nil {
			return false, err
		}
	}
	if err := l.startInstances("za", "za", "zb"); err != nil {
		return false, err
	}
	before, sentBefore := l.probe("before the fault", calmLength)
	if troubled() {
		l.note("SIGKILL to %s, which doesn't come back", l.instances[2].name)
		_ = l.instances[2].cmd.Process.Signal(syscall.SIGKILL) // its end shows in the record
	}
	l.probe("within recover-s", recoverS)
	after, sentAfter := l.probe("later than recover-s", judgedLength)
	return 4*before >= sentBefore && 4*after < sentAfter, nil
}

// probe sends requests to the first two instances for a while, and returns how many of them were served.
func (l *lab) probe(when string, length time.Duration) (served, sent int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	statuses := make(map[int]int)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(probeEvery) {
		in := l.instances[sent%2]
		sent++
		all.Go(func() {
			r := request{id: newRequestID(), method: http.MethodPost, path: "/narrative/x", body: "visit", deadline: probeLimit}
			r.header = promptHeaders(100, 6*answerEvents, "5afe0001:60,"+r.id+":40")
			a := in.send(r)
			l.note("%s at %s: status %d, %d events", r.id, in.name, a.status, len(a.events))
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.status == http.StatusOK && a.complete && len(a.events) == answerEvents {
				served++
			}
		})
	}
	all.Wait()
	l.say("%s: %d of %d requests served, answers by status: %v", when, served, sent, statuses)
	return served, sent
}
