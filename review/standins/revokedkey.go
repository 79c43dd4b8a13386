//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/medlarhold/medlarhold/platform/standin"
)

func init() { cases["revoked-key"] = revokedKey }

// revokedKey: a key is taken away. Some seconds later the store comes back from a copy that still has
// it, and one instance is killed and starts again, while the others know that the key is gone.
func revokedKey(w *world) {
	const (
		machines = 4
		revoke   = 5 * time.Second // revoke-ms
	)
	document := func(version int, betaKeys string) string {
		return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-pay","host":"desk.example","prefix":"/pay/","kind":"unsafe","timeout-ms":800,
		"target-latency-ms":150,"priority":2,"service":"desk","max-attempts":1,"public":false}],
		"services":[{"name":"desk","health-path":"/health","max-conns":200,"protocol":"h1","tls":false}],
		"limits":{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
		"tenants":[{"name":"acme","api-keys":["key-of-acme"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":314410,"burst":314410},
		{"name":"beta","api-keys":[%s],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":314410,"burst":314410}]}`, version, betaKeys)
	}
	w.configure(document(7, `"new-key-of-beta","old-key-of-beta"`))
	e := w.addEngine(&engine{id: "i-desk-1", service: "desk", zone: "a", slots: 6, queue: 24, work: 20 * time.Millisecond})
	w.addEngine(&engine{id: "i-desk-2", service: "desk", zone: "a", slots: 6, queue: 24, work: 20 * time.Millisecond})
	for i := range machines {
		w.addInstance(fmt.Sprintf("front-a-%d", i+1), "a")
	}
	w.awaitReady(w.instances...)
	time.Sleep(4 * time.Second)
	older := w.store.Copy()
	w.log("a copy of the store is made")
	time.Sleep(500 * time.Millisecond)
	w.configure(document(8, `"new-key-of-beta"`))
	revoked := time.Now()
	time.Sleep(revoke + time.Second)
	n := 0
	send := func(in *instance) {
		n++
		id := fmt.Sprintf("%016x", n)
		req, err := http.NewRequest("POST", "http://"+in.front+"/pay/fee", strings.NewReader("fee"))
		must(err)
		req.Host = "desk.example"
		req.Header.Set("Medlarhold-Request-Id", id)
		req.Header.Set("Medlarhold-Deadline-Ms", "1500")
		req.Header.Set("Authorization", "Token old-key-of-beta")
		sent := time.Since(revoked)
		client := http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
		res, err := client.Do(req)
		if err != nil {
			w.log("client: %s sent to %s with the key that was taken away has no answer", id, in.name)
			return
		}
		res.Body.Close()
		w.log("client: %s sent to %s with the key that was taken away, %.3f s after the acknowledgement, is answered %d", id, in.name, sent.Seconds(), res.StatusCode)
	}
	for _, in := range w.instances {
		send(in)
	}
	restarted := w.instances[0]
	if first := w.coordinator(); first == restarted {
		restarted = w.instances[1]
	}
	var all sync.WaitGroup
	if w.trouble {
		w.store.SetFault(standin.Unavailable)
		w.log("the store is away")
		time.Sleep(time.Second)
		w.store.Restore(older)
		w.store.SetFault(standin.NoFault)
		w.log("the store is back from the copy, Store-Era has risen")
		all.Go(func() {
			time.Sleep(2500 * time.Millisecond)
			w.configure(document(8, `"new-key-of-beta"`)) // what the operator wrote is written again
		})
		time.Sleep(200 * time.Millisecond)
		restarted.end(syscall.SIGKILL)
		time.Sleep(400 * time.Millisecond) // shorter than two questions for readiness are apart
		restarted.start(false)
	}
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		send(restarted)
	}
	all.Wait()
	time.Sleep(time.Second)
	for _, e := range []*engine{e, w.engines[1]} {
		e.mu.Lock()
		for id := range e.runs {
			w.breaks("CONFIG: request %s, sent with a key that was taken away over %v before, was run by %s", id, revoke, e.id)
		}
		e.mu.Unlock()
	}
}
