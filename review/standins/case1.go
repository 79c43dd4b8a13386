//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["rejected-twice"] = rejectedTwice }

// rejectedTwice: an engine that is full rejects a request, and a second copy of the rejection comes
// late, where the answer to the next request on the channel is due.
func rejectedTwice(w *world) {
	const (
		machines   = 6
		extraShare = 0.03
		clients    = 44
		length     = 56 * time.Second
		// A spell of second copies lasts 5 s; the next one comes 2 s after it.
		spell, between = 5 * time.Second, 2 * time.Second
	)
	w.configure(`{"version":7,"routes":[{"name":"r-pay","host":"desk.example","prefix":"/pay/","kind":"unsafe","timeout-ms":800,
		"target-latency-ms":150,"priority":2,"service":"desk","max-attempts":1,"public":false}],
		"services":[{"name":"desk","health-path":"/health","max-conns":200,"protocol":"h1","tls":false}],
		"limits":{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
		"tenants":[{"name":"acme","api-keys":["key-of-acme"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":314410,"burst":314410}]}`)
	var spells time.Time // when the first one begins
	share := func() float64 {
		if w.trouble && !spells.IsZero() && time.Since(spells)%(spell+between) < spell {
			return extraShare
		}
		return 0
	}
	e := w.addEngine(&engine{id: "i-desk-1", service: "desk", zone: "a", slots: 12, queue: 6, work: 15 * time.Millisecond, extra: share})
	var instances []*instance
	for i := range machines {
		instances = append(instances, w.addInstance(fmt.Sprintf("front-a-%d", i+1), "a"))
	}
	w.awaitReady(instances...)
	time.Sleep(time.Second)

	var mu sync.Mutex
	status := map[string]int{}
	var all sync.WaitGroup
	spells = time.Now()
	until := spells.Add(length)
	for c := range clients {
		in := instances[c%machines]
		all.Go(func() {
			client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("%04x%012x", c, n)
				code := pay(w, client, in, id)
				mu.Lock()
				status[id] = code
				mu.Unlock()
				time.Sleep(time.Duration(rand.Intn(50)) * time.Millisecond)
			}
		})
	}
	all.Wait()
	time.Sleep(3 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	codes := map[int]int{}
	for id, code := range status {
		codes[code]++
		if e.runs[id] > 1 {
			w.breaks("TWICE: the unsafe request %s was run %d times, its client was answered %d", id, e.runs[id], code)
		}
		if e.runs[id] > 0 && (code == 503 || code == 429 || code == 408 || code == 421) {
			w.breaks("REFUSED: the unsafe request %s was answered %d and was run", id, code)
		}
	}
	w.log("answers by status %v; %d requests rejected by the engine; %d second copies of an answer", codes, len(e.rejects), e.extras)
	fmt.Printf("answers by status %v; %d requests rejected by the engine; %d second copies\n", codes, len(e.rejects), e.extras)
	if codes[200] < 100 {
		panic(errNotPlayed{"hardly anything was served"})
	}
}

// pay sends one unsafe request and returns the status of its answer, 0 for none.
func pay(w *world, client *http.Client, in *instance, id string) int {
	req, err := http.NewRequest("POST", "http://"+in.front+"/pay/fee", strings.NewReader(strings.Repeat("x", 600)))
	must(err)
	req.Host = "desk.example"
	req.Header.Set("Medlarhold-Request-Id", id)
	req.Header.Set("Medlarhold-Deadline-Ms", "1500")
	req.Header.Set("Authorization", "Token key-of-acme")
	w.log("client: sends %s to %s", id, in.name)
	res, err := client.Do(req)
	if err != nil {
		w.log("client: %s has no answer, %v", id, err)
		return 0
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	w.log("client: %s is answered %d %q %v", id, res.StatusCode, strings.TrimSpace(string(body)), err)
	if after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		time.Sleep(time.Duration(after * float64(time.Second)))
	}
	return res.StatusCode
}
