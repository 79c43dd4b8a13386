package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarhold/medlarhold/internal/standin/relay"
)

const (
	longRoute = `{"name":"a","host":"h.example","prefix":"/review/","kind":"stream","can-resume":true,"timeout-ms":110000,"target-latency-ms":800,"gap-aim-ms":400,"priority":1,"service":"llm","max-attempts":2,"sticky":true}`
	// A stream lasts 90 s. The channels are reset 76 s after the last one has begun.
	longStreams    = 12
	longEvents     = 300
	longInterval   = 300 * time.Millisecond
	longResetAt    = 76 * time.Second
	longTimeLimit  = 105 * time.Second
	mixedAllowed   = 2
	triesOfStreams = 3
)

// lateTakeUp plays streams of the less frequent of two versions, whose clients' channels are reset after more than a minute.
// The clients take them up at the other instances.
func lateTakeUp(l *lab) (broken bool, err error) {
	handle := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		e.streamEvents(w, r, longEvents, longInterval)
	}
	l.publishEngines(9, longRoute)
	for i, version := range []string{"v2", "v2", "v1", "v1", "v1"} {
		if _, err := l.addEndpoint(fmt.Sprintf("i-%d", i+1), "llm", version, 9, handle); err != nil {
			return false, err
		}
	}
	if err := l.startInstances(); err != nil {
		return false, err
	}
	way, err := relay.Start("127.0.0.1:0", l.instances[0].front)
	if err != nil {
		return false, err
	}
	defer way.Close()
	l.instances[0].front = way.Address()
	var mixed, whole, takenUp atomic.Int64
	giveUpAt := time.Now().Add(longTimeLimit)
	var all sync.WaitGroup
	for i := range longStreams {
		all.Go(func() {
			s := l.playStream(i, giveUpAt)
			l.note("stream %d: versions %v, %d of %d events, %d tries", i, s.versions, s.last, longEvents, s.tries)
			takenUp.Add(int64(s.tries - 1))
			if s.last == longEvents {
				whole.Add(1)
			}
			if len(s.versions) > 1 {
				mixed.Add(1)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(longResetAt)
	if troubled() {
		l.note("the clients' channels to %s are reset", l.instances[0].name)
		way.CutConnections()
	}
	all.Wait()
	l.say("%d streams, %d times taken up, %d reached their clients whole; %d hold events of two versions, %d are allowed",
		longStreams, takenUp.Load(), whole.Load(), mixed.Load(), mixedAllowed)
	return mixed.Load() > mixedAllowed, nil
}

// streamResult is what a client has of one stream after all its tries.
type streamResult struct {
	versions    map[string]int
	last, tries int
}

// playStream asks the first instance for a stream, and takes it up at the others if its channel breaks.
func (l *lab) playStream(i int, giveUpAt time.Time) streamResult {
	s := streamResult{versions: make(map[string]int)}
	first := ""
	for s.tries < triesOfStreams && s.last < longEvents {
		in := l.instances[0]
		if s.tries > 0 {
			in = l.instances[1+(i+s.tries)%2]
		}
		s.tries++
		r := request{
			id: newRequestID(), method: http.MethodPost, path: "/review/x", body: fmt.Sprint("portfolio ", i), deadline: time.Until(giveUpAt),
			header: promptHeaders(100, 6*longEvents, fmt.Sprintf("5afe0001:60,50%06x:40", i)),
		}
		if s.last > 0 {
			r.header["Last-Event-Id"], r.header["Resumes"] = strconv.Itoa(s.last), first
		}
		a := in.send(r)
		for _, e := range a.events {
			if s.last == 0 {
				first = r.id
			}
			s.last, _ = strconv.Atoi(e.id) // the engines write numbers
			s.versions[e.data]++
		}
		l.note("stream %d, request %s at %s: status %d, now at event %d, versions %v, whole %v", i, r.id, in.name, a.status, s.last, s.versions, a.complete)
	}
	return s
}
