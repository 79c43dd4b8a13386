package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	heldKey = "key1"
	// madeUpKey is one that no configuration ever held.
	madeUpKey   = "no-such-key"
	revokeTime  = 5 * time.Second
	keysEvery   = 50 * time.Millisecond
	keysCalm    = 3 * time.Second
	keysChecked = 8 * time.Second
)

// lastTenantLeaves publishes a configuration without the only tenant.
func lastTenantLeaves(l *lab) (broken bool, err error) {
	var mu sync.Mutex
	ran := make(map[string]bool)
	handle := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ran[requestID(r)] = true
		mu.Unlock()
		l.note("%s runs %s of tenant %q", e.id, requestID(r), r.Header.Get("Medlarhold-Tenant"))
		e.stamp(w)
		time.Sleep(payWork)
		fmt.Fprint(w, "booked")
	}
	l.publishPlain(payRoute, oneTenant)
	for i := range 2 {
		if _, err := l.addEndpoint(fmt.Sprintf("i-%d", i+1), "desk", "v1", 6, handle); err != nil {
			return false, err
		}
	}
	if err := l.startInstances(); err != nil {
		return false, err
	}
	before := l.sendKeys("while the tenant is there", keysCalm)
	if troubled() {
		l.publishPlain(payRoute, noTenant)
		l.note("a configuration without the tenant is acknowledged")
	}
	time.Sleep(revokeTime)
	after := l.sendKeys("later than revoke-ms after that", keysChecked)
	mu.Lock()
	defer mu.Unlock()
	revoked, unknown := countRun(ran, after[heldKey]), countRun(ran, after[madeUpKey])
	if !troubled() {
		revoked = 0 // the key is in force
	}
	unknown += countRun(ran, before[madeUpKey])
	l.say("%d of %d requests ran whose key had been taken away, %d of %d whose key no configuration ever held; 0 are allowed",
		revoked, len(after[heldKey]), unknown, len(after[madeUpKey])+len(before[madeUpKey]))
	return revoked+unknown > 0, nil
}

func countRun(ran map[string]bool, ids []string) (n int) {
	for _, id := range ids {
		if ran[id] {
			n++
		}
	}
	return n
}

// sendKeys sends requests with both keys to the instances by turns, and returns their ids by key.
func (l *lab) sendKeys(when string, length time.Duration) map[string][]string {
	var mu sync.Mutex
	var all sync.WaitGroup
	ids, statuses := make(map[string][]string), make(map[string]map[int]int)
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		in, key := l.instances[i/2%len(l.instances)], []string{heldKey, madeUpKey}[i%2]
		r := request{
			id: newRequestID(), method: http.MethodPost, path: "/pay/x", body: fmt.Sprint("fee ", i), deadline: payLimit,
			header: map[string]string{"Authorization": "Token " + key},
		}
		ids[key] = append(ids[key], r.id)
		all.Go(func() {
			a := in.send(r)
			l.note("%s at %s, key %s: status %d", r.id, in.name, key, a.status)
			mu.Lock()
			defer mu.Unlock()
			if statuses[key] == nil {
				statuses[key] = make(map[int]int)
			}
			statuses[key][a.status]++
		})
		time.Sleep(keysEvery)
	}
	all.Wait()
	l.say("%s: answers by key and status %v", when, statuses)
	return ids
}
