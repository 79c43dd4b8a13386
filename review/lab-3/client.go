package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// isReady asks an instance whether it is ready.
func (in *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + in.ready + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// requests counts the requests of all clients.
var requests atomic.Int64

// newRequestID returns an id that no other request has.
func newRequestID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, requests.Add(1))
}

// request is one attempt of a client.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	header                 map[string]string
}

// event is one event of a stream.
type event struct{ id, data string }

// answer is what a client gets.
type answer struct {
	status   int // 0 if there was none
	stamp    string
	body     string
	events   []event
	complete bool // the answer did not break off
	retry    string
	took     time.Duration
	err      error
}

// send sends a request on a new channel and reads its answer.
func (in *instance) send(r request) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+in.front+r.path, strings.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "h.example"
	req.Header.Set("Medlarhold-Request-Id", r.id)
	req.Header.Set("Medlarhold-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer res.Body.Close()
	a := answer{status: res.StatusCode, stamp: res.Header.Get("Medlarhold-Server-Stamp"), retry: res.Header.Get("Retry-After")}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		a.events, a.err = readEvents(res.Body)
	} else {
		body, err := io.ReadAll(res.Body)
		a.body, a.err = string(body), err
	}
	a.complete, a.took = a.err == nil, time.Since(began)
	return a
}

// readEvents reads the whole events of a stream.
func readEvents(body io.Reader) (events []event, err error) {
	lines := bufio.NewScanner(body)
	var e event
	for lines.Scan() {
		switch line := lines.Text(); {
		case strings.HasPrefix(line, "id: "):
			e.id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			e.data = line[len("data: "):]
		case line == "":
			events = append(events, e)
			e = event{}
		}
	}
	return events, lines.Err()
}
