//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/medlarhold/medlarhold/platform/standin"
)

func init() { cases["joined-streams"] = joinedStreams }

// coordinator returns the instance that reads and writes the store for its zone, as the instances say.
func (w *world) coordinator() *instance {
	names := map[string]*instance{}
	chosen := ""
	for _, in := range w.instances {
		res, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/beliefs", in.peers+1))
		must(err)
		var s struct{ Instance, Coordinator string }
		must(json.NewDecoder(res.Body).Decode(&s))
		res.Body.Close()
		names[s.Instance] = in
		chosen = s.Coordinator
	}
	if names[chosen] == nil {
		panic(errNotPlayed{"the instances name no coordinator"})
	}
	return names[chosen]
}

// joinedStreams: engines of two software versions serve side by side. The store comes back from a copy
// some seconds old, and the instance that had written there is killed while the store is away. Clients
// take their streams up at the other instances.
func joinedStreams(w *world) {
	const (
		clients = 40
		events  = 40
		tries   = 8
	)
	w.configure(fmt.Sprintf(streamConfig, 7, streamTenant))
	for i := range 6 {
		version := "v1"
		if i >= 4 {
			version = "v2"
		}
		w.addEngine(&engine{id: fmt.Sprintf("i-llm-%d", i+1), service: "llm", zone: "a", slots: 9, queue: 54, events: events, gap: 150 * time.Millisecond, version: version})
	}
	for i := range 4 {
		w.addInstance(fmt.Sprintf("front-a-%d", i+1), "a")
	}
	w.awaitReady(w.instances...)
	time.Sleep(9 * time.Second)
	first := w.coordinator()
	var others []*instance
	for _, in := range w.instances {
		if in != first {
			others = append(others, in)
		}
	}
	w.log("%s reads and writes the store for its zone", first.name)
	older := w.store.Copy()
	w.log("a copy of the store is made")
	time.Sleep(500 * time.Millisecond)

	var all sync.WaitGroup
	var joined, resumed, began, refused atomic.Int64
	for c := range clients {
		all.Go(func() {
			id := fmt.Sprintf("%04x%012x", c, 0)
			s := openStream(w, first, "/short/x", id, "", "")
			if s.count > 0 {
				began.Add(1)
			}
			versions, lastID, resumes := s.versions, s.lastID, id
			for n := 1; n <= tries && !s.complete; n++ {
				if n > 1 {
					time.Sleep(500 * time.Millisecond)
				}
				if lastID == "" {
					resumes = "" // nothing to take up
				}
				id := fmt.Sprintf("%04x%012x", c, n)
				s = openStream(w, others[(c+n)%len(others)], "/short/x", id, lastID, resumes)
				if s.count == 0 {
					refused.Add(1)
					continue
				}
				if resumes == "" {
					resumes = id
				}
				resumed.Add(1)
				versions, lastID = append(versions, s.versions...), s.lastID
			}
			slices.Sort(versions)
			if v := slices.Compact(versions); len(v) > 1 {
				joined.Add(1)
				w.log("JOINED the stream that %04x%012x began has events of the versions %v", c, 0, v)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	switch {
	case os.Getenv("TROUBLE") == "kill": // the kill alone, to tell which disruption matters
		first.end(syscall.SIGKILL)
	case w.trouble:
		w.store.SetFault(standin.Unavailable)
		w.log("the store is away")
		first.end(syscall.SIGKILL)
		time.Sleep(time.Second)
		w.store.Restore(older)
		w.store.SetFault(standin.NoFault)
		w.log("the store is back from the copy, Store-Era has risen")
	}
	all.Wait()
	summary := fmt.Sprintf("%d streams began, %d were taken up, %d tries got nothing, %d hold events of two versions", began.Load(), resumed.Load(), refused.Load(), joined.Load())
	w.log("%s", summary)
	fmt.Println(summary)
	if joined.Load() > 2 {
		w.breaks("ORDER: %d streams hold events of engines of two software versions", joined.Load())
	}
	if began.Load() < clients/2 {
		panic(errNotPlayed{"hardly anything was served"})
	}
}
