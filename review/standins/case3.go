//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["cut-answer"] = func(w *world) { cutAnswer(w, syscall.SIGKILL) }
	cases["cut-answer-stop"] = func(w *world) { cutAnswer(w, syscall.SIGTERM) }
}

const streamConfig = `{"version":%d,"routes":[
	{"name":"r-long","host":"llm.example","prefix":"/long/","kind":"stream","timeout-ms":15000,"target-latency-ms":800,"priority":0,"service":"llm","max-attempts":1,"public":false,"sticky":true,"can-resume":false,"gap-aim-ms":400},
	{"name":"r-short","host":"llm.example","prefix":"/short/","kind":"stream","timeout-ms":12000,"target-latency-ms":400,"priority":1,"service":"llm","max-attempts":2,"public":false,"sticky":true,"can-resume":true,"gap-aim-ms":400}],
	"services":[{"name":"llm","health-path":"/health","max-conns":720,"protocol":"h1","tls":false,"engine":{"slots":9,"kv-tokens":616741,"kv-token-bytes":163840,"link-mbps":260000.0,"stride":6,"models":[{"name":"m"}]}}],
	"limits":{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
	"tenants":[%s]}`

const streamTenant = `{"name":"acme","api-keys":["key-of-acme"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":314410,"burst":314410}`

// cutAnswer: engines fall silent for a moment now and then, so that opening packets to them are lost, and
// a machine then reaches them through another one. That one is killed or stopped. Some answers have
// neither a length nor chunks.
func cutAnswer(w *world, how syscall.Signal) {
	const (
		unframedShare = 0.05
		machines      = 3
		clients       = 52
	)
	events, gap, rounds := 30, 100*time.Millisecond, 11
	if how == syscall.SIGTERM { // streams that last longer than the grace period
		events, gap, rounds = 36, 320*time.Millisecond, 5
	}
	w.configure(fmt.Sprintf(streamConfig, 7, streamTenant))
	for i := range 6 {
		w.addEngine(&engine{id: fmt.Sprintf("i-llm-%d", i+1), service: "llm", zone: "a", slots: 9, queue: 54, events: events, gap: gap,
			unframed: func() float64 { return unframedShare }, silentFor: 300 * time.Millisecond, silentEvery: 350 * time.Millisecond})
	}
	var instances []*instance
	for i := range machines {
		instances = append(instances, w.addInstance(fmt.Sprintf("front-a-%d", i+1), "a"))
	}
	w.awaitReady(instances...)
	time.Sleep(2 * time.Second)

	var stop atomic.Bool
	var all sync.WaitGroup
	var served, failed atomic.Int64
	for c := range clients {
		all.Go(func() {
			for n := 0; !stop.Load(); n++ {
				s := openStream(w, instances[0], "/long/x", fmt.Sprintf("%04x%012x", c, n), "", "")
				switch {
				case s.complete && s.count == events:
					served.Add(1)
				case s.complete:
					w.breaks("MIXED: stream %s looks complete with %d of %d events; the engine had not ended it", s.id, s.count, events)
				default:
					failed.Add(1)
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	for range rounds {
		time.Sleep(4500 * time.Millisecond)
		// The machine through which most channels to engines pass gets the signal.
		relay := mostChannels(w, instances[1:])
		if w.trouble {
			relay.end(how)
			time.Sleep(3500 * time.Millisecond)
			relay.start(false)
		}
	}
	time.Sleep(3 * time.Second)
	stop.Store(true)
	all.Wait()
	w.log("%d streams complete, %d broken off or refused", served.Load(), failed.Load())
	fmt.Printf("%d streams complete, %d broken off or refused\n", served.Load(), failed.Load())
	if served.Load() < 50 {
		panic(errNotPlayed{"hardly anything was served"})
	}
}

// mostChannels returns the instance with the most channels to engines.
func mostChannels(w *world, instances []*instance) *instance {
	var pids []int
	for _, in := range instances {
		pids = append(pids, in.pid())
	}
	held := w.channels(pids)
	best := instances[0]
	for _, in := range instances {
		w.log("%s has %d channels to engines", in.name, held[in.pid()])
		if held[in.pid()] > held[best.pid()] {
			best = in
		}
	}
	return best
}

// stream is what a client has got of one.
type stream struct {
	id       string
	status   int
	count    int    // events
	lastID   string // of the last event
	versions []string
	complete bool // the answer is complete in the protocol
}

// openStream sends a request and reads its stream to the end.
func openStream(w *world, in *instance, path, id, lastID, resumes string) (s stream) {
	s = stream{id: id, lastID: lastID}
	req, err := http.NewRequest("POST", "http://"+in.front+path, strings.NewReader("prompt"))
	must(err)
	req.Host = "llm.example"
	req.Header.Set("Medlarhold-Request-Id", id)
	req.Header.Set("Medlarhold-Deadline-Ms", "15000")
	req.Header.Set("Medlarhold-Model", "m")
	req.Header.Set("Medlarhold-Token-Usage", "660,80")
	req.Header.Set("Medlarhold-Prefix-Hash", id[:4]+"07a2:60,"+id[8:]+":600")
	req.Header.Set("Authorization", "Token key-of-acme")
	if lastID != "" {
		req.Header.Set("Last-Event-Id", lastID)
		req.Header.Set("Resumes", resumes)
	}
	w.log("client: sends %s to %s, after event %q", id, in.name, lastID)
	client := http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		w.log("client: %s has no answer, %v", id, err)
		return s
	}
	defer res.Body.Close()
	s.status = res.StatusCode
	if res.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(res.Body)
		w.log("client: %s is answered %d %q", id, res.StatusCode, strings.TrimSpace(string(body)))
		return s
	}
	reader := bufio.NewReader(res.Body)
	for {
		line, err := reader.ReadString('\n')
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			s.complete = true
			w.log("client: %s ends as complete after %d events, last event %s", id, s.count, s.lastID)
			return s
		default:
			w.log("client: %s breaks off after %d events, last event %s: %v", id, s.count, s.lastID, err)
			return s
		}
		if after, ok := strings.CutPrefix(line, "id: "); ok {
			s.lastID = strings.TrimSpace(after)
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			s.count++
			s.versions = append(s.versions, strings.Fields(data)[0])
		}
	}
}
