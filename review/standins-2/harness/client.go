package harness

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	ID, Method, Host, Path, Key, Body string
	// Tokens is the value of Medlarhold-Token-Usage, empty for a plain request.
	Tokens string
	// Limit is how long the client waits.
	Limit time.Duration
	// LastEvent and Resumes are set if the client takes up a stream.
	LastEvent, Resumes string
	// LeaveAfter is after what time the client's channel breaks, 0 for never.
	LeaveAfter time.Duration
	// Header has further headers.
	Header map[string]string
}

// Event is one event of a stream.
type Event struct{ ID, Data string }

// Answer is what a client got.
type Answer struct {
	Status int // 0 for none
	Stamp  string
	// RetryAfter is what the answer says.
	RetryAfter string
	AnswerTo   string
	Body       string
	Events     []Event
	// Complete is set if the answer ended as an answer does.
	Complete bool
	Err      error
}

// Send sends one attempt over a channel of its own.
func (c *Case) Send(in *Instance, r Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.Limit)
	defer cancel()
	if r.LeaveAfter > 0 {
		time.AfterFunc(r.LeaveAfter, cancel)
	}
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.Callers+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = r.Host
	req.GetBody = nil // keeps the transport from sending the request a second time
	req.Header.Set("Medlarhold-Request-Id", r.ID)
	req.Header.Set("Medlarhold-Deadline-Ms", fmt.Sprint(r.Limit.Milliseconds()))
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if r.Key != "" {
		set("Authorization", "Token "+r.Key)
	}
	if r.Tokens != "" {
		set("Medlarhold-Model", "m")
		set("Medlarhold-Token-Usage", r.Tokens)
		set("Medlarhold-Prefix-Hash", "5c1e07a2:60,"+fmt.Sprintf("%x", hash(r.ID))+":568")
	}
	set("Last-Event-Id", r.LastEvent)
	set("Resumes", r.Resumes)
	for name, value := range r.Header {
		set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(req)
	if err != nil {
		c.Log("client: %s at %s: no answer: %v", r.ID, in.Name, err)
		return Answer{Err: err}
	}
	defer res.Body.Close()
	a := Answer{Status: res.StatusCode, Stamp: res.Header.Get("Medlarhold-Server-Stamp"), RetryAfter: res.Header.Get("Retry-After"), AnswerTo: res.Header.Get("Medlarhold-Request-Id")}
	if r.Tokens != "" && res.StatusCode == http.StatusOK {
		a.readEvents(res.Body)
	} else {
		data, err := io.ReadAll(res.Body)
		a.Body, a.Complete, a.Err = string(data), err == nil, err
	}
	c.Log("client: %s at %s: status %d, %d events, complete %v, retry after %q, %s", r.ID, in.Name, a.Status, len(a.Events), a.Complete, a.RetryAfter, strings.TrimSpace(a.Body))
	return a
}

func hash(s string) uint32 {
	h := uint32(2166136261)
	for _, b := range []byte(s) {
		h = (h ^ uint32(b)) * 16777619
	}
	return h
}

// readEvents reads a stream to its end.
func (a *Answer) readEvents(r io.Reader) {
	reader := bufio.NewReader(r)
	var e Event
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			a.Complete = err == io.EOF && line == "" && e == Event{}
			a.Err = err
			return
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "":
			a.Events = append(a.Events, e)
			e = Event{}
		case strings.HasPrefix(line, "id: "):
			e.ID = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			e.Data = line[len("data: "):]
		}
	}
}

// Wait returns how long the answer asks its client to wait, 0 if it doesn't.
func (a *Answer) Wait() time.Duration {
	seconds, err := strconv.ParseFloat(a.RetryAfter, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
