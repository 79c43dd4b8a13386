// Command baseback shows where streams go on that began while the store was away and the version that
// counts as the base had no engine, if all instances are killed and that version comes back.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/medlarhold/medlarhold/platform/standin"
	"github.com/medlarhold/medlarhold/review/standins-2/harness"
)

const (
	key     = "k1ngf1sher0000000000"
	streams = 20
	events  = 200
	gap     = 40 * time.Millisecond
	limit   = 12 * time.Second
	// Times from the start: joinAt is when the engines of v2 join, leaveAt when those of v1 leave.
	joinAt  = time.Second
	leaveAt = 4 * time.Second
	// drainFor is how long an engine serves after it has said that it leaves.
	drainFor = 2500 * time.Millisecond
	// awayAt is when the store goes away, backAt when it is back.
	awayAt = 9 * time.Second
	backAt = 13500 * time.Millisecond
	// beginAt is when the streams begin, killAt when all instances are killed, startAt when they start again.
	beginAt = 10 * time.Second
	killAt  = 11500 * time.Millisecond
	startAt = 12500 * time.Millisecond
	// returnAt is when engines of v1 are added again.
	returnAt = 13600 * time.Millisecond
	// retryEvery is how soon a client comes back that is not told when to.
	retryEvery = 300 * time.Millisecond
)

const config = `{"version":1,"routes":[
{"name":"r","host":"h.example","prefix":"/chat/","kind":"stream","timeout-ms":12000,"target-latency-ms":400,"priority":1,"service":"llm","max-attempts":2,"public":false,"sticky":true,"can-resume":true,"gap-aim-ms":400}],
"services":[{"name":"llm","health-path":"/health","max-conns":771,"protocol":"h1","tls":false,"engine":{"slots":8,"kv-tokens":431868,"stride":6,"models":[{"name":"m"}]}}],
"limits":{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"o","api-keys":["` + key + `"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":3000000,"burst":3000000}]}`

var zones = []string{"rvk-a", "rvk-b"}

func main() { harness.Main(run) }

func run(c *harness.Case) (bool, error) {
	d, err := harness.NewDeployment(c)
	if err != nil {
		return false, err
	}
	d.Configure(config)
	old, err := startEngines(d, "old", "v1")
	if err != nil {
		return false, err
	}
	if err := d.StartInstances(zones, 2); err != nil {
		return false, err
	}
	began := time.Now()
	at := func(t time.Duration) { time.Sleep(time.Until(began.Add(t))) }
	at(joinAt)
	if _, err := startEngines(d, "new", "v2"); err != nil {
		return false, err
	}
	at(leaveAt)
	for _, e := range old {
		e.Leave()
	}
	at(leaveAt + drainFor)
	for _, e := range old {
		e.Remove()
	}
	var disturbed sync.WaitGroup
	if c.Trouble {
		disturbed.Go(func() { disturb(c, d, at) })
	}
	disturbed.Go(func() {
		at(returnAt)
		if _, err := startEngines(d, "again", "v1"); err != nil {
			c.Log("engines of v1 don't start: %v", err)
		}
	})
	at(beginAt)
	var mu sync.Mutex
	wentOn, joined := 0, 0
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			on, both := stream(c, d, i, at)
			mu.Lock()
			defer mu.Unlock()
			if on {
				wentOn++
			}
			if both {
				joined++
			}
		})
	}
	all.Wait()
	disturbed.Wait()
	c.Log("%d of %d streams went on, %d with events of two versions (more than two break the rule)", wentOn, streams, joined)
	fmt.Printf("%d of %d went on, %d with events of two versions\n", wentOn, streams, joined)
	return joined > 2, nil
}

// startEngines starts engines of a version, two in each zone.
func startEngines(d *harness.Deployment, name, version string) ([]*harness.Engine, error) {
	var out []*harness.Engine
	for i := range 4 {
		e, err := d.StartEngine(harness.EngineOptions{
			ID: fmt.Sprintf("i-%s-%d", name, i+1), Service: "llm", Zone: zones[i%2], Version: version, Slots: 8, Queue: 24, Events: events, Gap: gap,
		})
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// disturb takes the store away for a while, and kills all instances meanwhile.
func disturb(c *harness.Case, d *harness.Deployment, at func(time.Duration)) {
	at(awayAt)
	d.Store.SetFault(standin.Unavailable)
	c.Log("the store is away")
	at(killAt)
	for _, in := range d.Instances {
		in.Signal(syscall.SIGKILL)
	}
	at(startAt)
	for _, in := range d.Instances {
		if err := in.StartAgain(); err != nil {
			c.Log("%s does not start: %v", in.Name, err)
		}
	}
	at(backAt)
	d.Store.SetFault(standin.NoFault)
	c.Log("the store is back")
}

// stream begins a stream. If its channel breaks, the client takes it up until its time has passed.
func stream(c *harness.Case, d *harness.Deployment, i int, at func(time.Duration)) (wentOn, joined bool) {
	id := fmt.Sprintf("s%d", i)
	end := time.Now().Add(limit)
	r := harness.Request{ID: id, Host: "h.example", Path: "/chat/2f", Key: key, Tokens: "628,300", Limit: limit, Body: "x"}
	if !c.Trouble {
		r.LeaveAfter = killAt - beginAt
	}
	a := c.Send(d.Instances[i%len(d.Instances)], r)
	if len(a.Events) == 0 {
		return false, false
	}
	at(startAt)
	first, last := a.Events[0].Data, a.Events[len(a.Events)-1].ID
	for n := 1; time.Now().Before(end); n++ {
		again := r
		again.ID, again.Resumes, again.LastEvent, again.Limit, again.LeaveAfter = fmt.Sprint(id, "-again-", n), id, last, time.Until(end), 0
		b := c.Send(d.Instances[(i+n)%len(d.Instances)], again)
		if len(b.Events) > 0 {
			c.Log("client: %s began at %s and went on at %s", id, first, b.Events[0].Data)
			return true, b.Events[0].Data != first
		}
		time.Sleep(max(retryEvery, b.Wait()))
	}
	return false, false
}
