//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-header"] = lateHeader }

// lateHeader: a machine freezes while the second packets of its clients' headers are on their way, and
// wakes after the header timeout.
func lateHeader(w *world) {
	const (
		clients = 300
		freeze  = 3500 * time.Millisecond
		rounds  = 6
	)
	w.configure(`{"version":7,"routes":[{"name":"r-pay","host":"desk.example","prefix":"/pay/","kind":"unsafe","timeout-ms":15000,
		"target-latency-ms":150,"priority":2,"service":"desk","max-attempts":1,"public":false}],
		"services":[{"name":"desk","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false}],
		"limits":{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
		"tenants":[{"name":"acme","api-keys":["key-of-acme"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":314410,"burst":314410}]}`)
	for i := range 4 {
		w.addEngine(&engine{id: fmt.Sprintf("i-desk-%d", i+1), service: "desk", zone: "a", slots: 200, queue: 400, work: 20 * time.Millisecond, keepAlive: "Keep-Alive: timeout=15\r\n"})
	}
	w.addInstance("front-a-1", "a")
	w.addInstance("front-a-2", "a")
	w.awaitReady(w.instances...)
	time.Sleep(3 * time.Second)
	in := w.coordinator()
	var mu sync.Mutex
	status := map[string]int{}
	for round := range rounds {
		var all sync.WaitGroup
		// Usual load, after which channels to the engines are idle.
		for c := range 150 {
			all.Go(func() {
				whole := make(chan struct{})
				close(whole)
				sendInTwo(w, in, fmt.Sprintf("%02x%04x%010x", round, c, 1), whole)
			})
		}
		all.Wait()
		frozen := make(chan struct{})
		for c := range clients {
			all.Go(func() {
				id := fmt.Sprintf("%02x%04x%010x", round, c, 0)
				code := sendInTwo(w, in, id, frozen)
				mu.Lock()
				defer mu.Unlock()
				status[id] = code
			})
		}
		time.Sleep(150 * time.Millisecond)
		if w.trouble {
			in.signal(syscall.SIGSTOP)
		}
		close(frozen)
		if w.trouble {
			time.Sleep(freeze)
			in.signal(syscall.SIGCONT)
		}
		all.Wait()
		time.Sleep(3500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	runs := map[string]int{}
	for _, e := range w.engines {
		e.mu.Lock()
		for id, n := range e.runs {
			runs[id] += n
		}
		e.mu.Unlock()
	}
	codes := map[int]int{}
	for id, code := range status {
		codes[code]++
		if code == http.StatusRequestTimeout && runs[id] > 0 {
			w.breaks("REFUSED: the unsafe request %s was answered 408 and was run", id)
		}
	}
	w.log("answers by status %v", codes)
	fmt.Println("answers by status", codes)
}

// sendInTwo sends a request whose header comes in two packets, the second one once second is closed.
func sendInTwo(w *world, in *instance, id string, second <-chan struct{}) int {
	conn, err := net.Dial("tcp", in.front)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	fmt.Fprintf(conn, "POST /pay/fee HTTP/1.1\r\nHost: desk.example\r\nMedlarhold-Request-Id: %s\r\nMedlarhold-Deadline-Ms: 15000\r\n", id)
	<-second
	fmt.Fprintf(conn, "Authorization: Token key-of-acme\r\nContent-Length: 3\r\n\r\nfee")
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.log("client: %s has no answer, %v", id, err)
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	w.log("client: %s is answered %d", id, res.StatusCode)
	return res.StatusCode
}
