package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarhold/medlarhold/internal/testbed"
)

const (
	// loadPerSecond is the total request rate of a run, shared by its instances.
	loadPerSecond = 240
	// loadTokens is the length of a response in tokens.
	loadTokens = 20
	// loadPromptBytes is the length of a prompt.
	loadPromptBytes = 2048
	// callTimeout bounds one call of the load.
	callTimeout = 30 * time.Second
)

// load counts the calls of an open-loop load that were sent and that succeeded.
type load struct{ sent, ok atomic.Int64 }

// run sends requests at a fixed rate to the instances in turn, whether or not
// earlier ones have been answered. It returns when ctx is done and all calls have
// ended.
func (l *load) run(ctx context.Context, instances []*testbed.Instance, perSecond int) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		in := instances[n%len(instances)]
		calls.Go(func() { l.call(client, in, n) })
	}
}

// call sends one request and reads the complete response.
func (l *load) call(client *http.Client, in *testbed.Instance, n int) {
	l.sent.Add(1)
	prompt := fmt.Sprintf("report %d %s", n%500, strings.Repeat("visit ", loadPromptBytes/6))
	body := fmt.Sprintf(`{"model":"narrative","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, loadTokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+in.Callers+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+testbed.CallerKey)
	res, err := client.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err == nil && res.StatusCode == http.StatusOK {
		l.ok.Add(1)
	}
}
