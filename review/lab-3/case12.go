package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	narrativeRoute = `{"name":"n","host":"h.example","prefix":"/narrative/","kind":"stream","timeout-ms":15000,"target-latency-ms":800,"gap-aim-ms":400,"priority":0,"service":"llm","max-attempts":1,"sticky":true}`
	contactTime    = 3 * time.Second
	// The bound of the rule: requests with the part that may still reach engines.
	deadlyAllowed = 3
	deadlyCrashes = 5
	// A prompt has partsOfPrompt parts. The deadly one stands at deadlyPlace, counted from 1.
	partsOfPrompt  = 12
	deadlyPlace    = 10
	deadlyID       = "dead0bad"
	deadlyEngines  = 8
	deadlyAway     = 3 * time.Second
	deadlyInterval = 700 * time.Millisecond
	soundInterval  = 60 * time.Millisecond
	soundFirst     = 4 * time.Second
	deadlyLength   = 45 * time.Second
	answerEvents   = 8
	answerInterval = 40 * time.Millisecond
)

// deadlyPart plays a part of prompts that crashes each engine that begins to answer it.
func deadlyPart(l *lab) (broken bool, err error) {
	var mu sync.Mutex
	var reached, crashes []time.Time
	handle := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Medlarhold-Prefix-Hash"), deadlyID) {
			e.streamEvents(w, r, answerEvents, answerInterval)
			return
		}
		mu.Lock()
		reached = append(reached, time.Now())
		l.note("%s begins request %s with the deadly part, number %d of these", e.id, requestID(r), len(reached))
		if troubled() {
			crashes = append(crashes, time.Now())
		}
		mu.Unlock()
		if troubled() {
			e.crashFor(deadlyAway, "v1")
			return
		}
		e.streamEvents(w, r, answerEvents, answerInterval)
	}
	l.publishEngines(9, narrativeRoute)
	for i := range deadlyEngines {
		if _, err := l.addEndpoint(fmt.Sprintf("i-%d", i+1), "llm", "v1", 9, handle); err != nil {
			return false, err
		}
	}
	if err := l.startInstances(); err != nil {
		return false, err
	}
	var all sync.WaitGroup
	end := time.Now().Add(deadlyLength)
	all.Go(func() { l.sendPrompts(end, soundInterval, "50", 0) })
	time.Sleep(soundFirst)
	l.sendPrompts(end, deadlyInterval, "de", deadlyPlace)
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < deadlyCrashes {
		l.say("%d requests with the part reached engines, %d engines crashed", len(reached), len(crashes))
		return false, nil
	}
	known := crashes[deadlyCrashes-1].Add(contactTime)
	late := 0
	for _, at := range reached {
		if at.After(known) {
			late++
		}
	}
	l.say("%d engines crashed; %d requests with the part reached engines later than contact-ms after the fifth crash, %d are allowed", len(crashes), late, deadlyAllowed)
	return late > deadlyAllowed, nil
}

// sendPrompts sends requests with prompts of one kind until a time, to the instances by turns. The deadly part stands at a
// place, 0 for none. All are of the same tenant and share the other parts, but for the last one, which is their own.
func (l *lab) sendPrompts(end time.Time, every time.Duration, kind string, place int) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; time.Now().Before(end); i++ {
		in := l.instances[i%len(l.instances)]
		all.Go(func() {
			r := request{
				id: newRequestID(), method: http.MethodPost, path: "/narrative/x", body: fmt.Sprintf("visit %s %d", kind, i), deadline: 15 * time.Second,
				header: promptHeaders(50*partsOfPrompt, 6*answerEvents, partsWith(place, fmt.Sprintf("%s%06x", kind, i))),
			}
			a := in.send(r)
			l.note("request %s, deadly %v: status %d, whole %v", r.id, place > 0, a.status, a.complete && len(a.events) == answerEvents)
		})
		time.Sleep(every)
	}
}

// partsWith returns the parts of a prompt. The last one is the request's own.
func partsWith(place int, own string) string {
	var list []string
	for i := 1; i < partsOfPrompt; i++ {
		id := fmt.Sprintf("5afe%04x", i)
		if i == place {
			id = deadlyID
		}
		list = append(list, id+":50")
	}
	return strings.Join(append(list, own+":50"), ",")
}
