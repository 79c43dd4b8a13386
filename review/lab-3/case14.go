package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	payRoute    = `{"name":"p","host":"h.example","prefix":"/pay/","kind":"unsafe","timeout-ms":1500,"target-latency-ms":150,"priority":2,"service":"desk","max-attempts":1}`
	payLimit    = 1500 * time.Millisecond
	payWork     = 30 * time.Millisecond
	payEvery    = 50 * time.Millisecond
	payLength   = 14 * time.Second
	drainTime   = 2 * time.Second
	removeAfter = 3 * time.Second
	// goneAfter is how long an endpoint goes on serving after its entry was removed.
	goneAfter = 8 * time.Second
)

// lastEndpointsLeave removes the entries of all endpoints. They serve for some seconds more, then they end.
func lastEndpointsLeave(l *lab) (broken bool, err error) {
	var mu sync.Mutex
	arrivals := make(map[string]time.Time)
	handle := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		arrivals[requestID(r)] = time.Now()
		mu.Unlock()
		l.note("%s runs %s", e.id, requestID(r))
		e.stamp(w)
		time.Sleep(payWork)
		fmt.Fprint(w, "booked")
	}
	l.publishPlain(payRoute, oneTenant)
	var list []*endpoint
	for i := range 2 {
		e, err := l.addEndpoint(fmt.Sprintf("i-%d", i+1), "desk", "v1", 6, handle)
		if err != nil {
			return false, err
		}
		list = append(list, e)
	}
	if err := l.startInstances(); err != nil {
		return false, err
	}
	statuses := make(map[int]int)
	var all sync.WaitGroup
	all.Go(func() {
		end := time.Now().Add(payLength)
		for i := 0; time.Now().Before(end); i++ {
			in := l.instances[i%len(l.instances)]
			all.Go(func() {
				r := request{id: newRequestID(), method: http.MethodPost, path: "/pay/x", body: fmt.Sprint("fee ", i), deadline: payLimit, header: map[string]string{"Authorization": "Token " + heldKey}}
				a := in.send(r)
				l.note("%s at %s: status %d", r.id, in.name, a.status)
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
			})
			time.Sleep(payEvery)
		}
	})
	time.Sleep(removeAfter)
	var removedAt time.Time
	if troubled() {
		for _, e := range list {
			e.leaveSilently()
		}
		removedAt = time.Now()
		time.Sleep(goneAfter)
		for _, e := range list {
			e.crash() // it exits
		}
	}
	all.Wait()
	late := 0
	for _, at := range arrivals {
		if troubled() && at.After(removedAt.Add(drainTime)) {
			late++
		}
	}
	l.say("%d requests reached endpoints later than drain-ms after the store had acknowledged that these are gone, 0 are allowed; answers by status: %v", late, statuses)
	return late > 0, nil
}
