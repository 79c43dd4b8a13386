// Command lossyend shows whether a stream that ends with its connection looks complete when its engine
// crashes while links lose packets.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarhold/medlarhold/review/standins-2/harness"
)

const (
	key     = "k1ngf1sher0000000000"
	perZone = 2 // instances
	engines = 24
	clients = 40
	events  = 60
	gap     = 40 * time.Millisecond
	stagger = 70 * time.Millisecond
	// loss is the share of packets that are lost, for lossFor from the start of each round, and crashed the
	// number of engines that crash at once in a round, crashAfter its start; they are down for downFor.
	loss       = 0.025
	lossFor    = 3 * time.Second
	crashed    = 4
	crashAfter = time.Second
	downFor    = time.Second
	rounds     = 27
	limit      = 15 * time.Second
)

const config = `{"version":1,"routes":[
{"name":"r","host":"h.example","prefix":"/chat/","kind":"stream","timeout-ms":15000,"target-latency-ms":800,"priority":1,"service":"llm","max-attempts":1,"public":false,"sticky":true,"can-resume":false,"gap-aim-ms":400}],
"services":[{"name":"llm","health-path":"/health","max-conns":771,"protocol":"h1","tls":false,"engine":{"slots":8,"kv-tokens":431868,"stride":6,"models":[{"name":"m"}]}}],
"limits":{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"o","api-keys":["` + key + `"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":3000000,"burst":3000000}]}`

func main() { harness.Main(run) }

func run(c *harness.Case) (bool, error) {
	d, err := harness.NewDeployment(c)
	if err != nil {
		return false, err
	}
	d.Configure(config)
	// All engines are in the other zone than the instances that the clients use, so that all their links are
	// between zones.
	zones := []string{"rvk-a", "rvk-b"}
	var pool []*harness.Engine
	var links []*harness.Link
	for i := range engines {
		e, err := d.StartEngine(harness.EngineOptions{
			ID: fmt.Sprintf("i-%d", i+1), Service: "llm", Zone: zones[1], Version: "v1", Slots: 8, Queue: 24, Events: events, Gap: gap, Unframed: true,
		})
		if err != nil {
			return false, err
		}
		l, err := d.NewLink(e.Address(), int64(i))
		if err != nil {
			return false, err
		}
		e.AnnounceAt(l.Address())
		pool, links = append(pool, e), append(links, l)
	}
	if err := d.StartInstances(zones, perZone); err != nil {
		return false, err
	}
	var stop atomic.Bool
	var streams, whole, broken, cutShort atomic.Int64
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			time.Sleep(time.Duration(i) * stagger)
			for n := 0; !stop.Load(); n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				a := c.Send(d.Instances[(i+n)%perZone], harness.Request{ID: id, Host: "h.example", Path: "/chat/2f", Key: key, Tokens: "628,300", Limit: limit, Body: "x"})
				streams.Add(1)
				switch {
				case a.Status != 200 || !a.Complete:
					broken.Add(1)
					time.Sleep(100 * time.Millisecond)
				case len(a.Events) < events:
					cutShort.Add(1)
					c.Log("client: %s ended as complete after %d of %d events", id, len(a.Events), events)
				default:
					whole.Add(1)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	for r := range rounds {
		if !c.Trouble {
			time.Sleep(lossFor)
		} else if err := round(pool, links, r); err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
	}
	stop.Store(true)
	all.Wait()
	late := 0
	for _, l := range links {
		late += l.LateEnds()
	}
	c.Log("%d streams: %d whole, %d broken off or refused, %d cut short that look complete (one breaks the rule); %d ends came late", streams.Load(), whole.Load(), broken.Load(), cutShort.Load(), late)
	fmt.Printf("%d streams: %d whole, %d broken off or refused, %d cut short that look complete; %d ends late\n", streams.Load(), whole.Load(), broken.Load(), cutShort.Load(), late)
	return cutShort.Load() > 0, nil
}

// round makes the links lose packets for a while, and crashes some engines meanwhile.
func round(pool []*harness.Engine, links []*harness.Link, r int) error {
	for _, l := range links {
		l.SetLoss(loss)
	}
	time.Sleep(crashAfter)
	for i := range crashed {
		pool[(r*crashed+i)%len(pool)].Kill()
	}
	time.Sleep(downFor)
	for i := range crashed {
		if err := pool[(r*crashed+i)%len(pool)].Start("v1"); err != nil {
			return err
		}
	}
	time.Sleep(lossFor - crashAfter - downFor)
	for _, l := range links {
		l.SetLoss(0)
	}
	return nil
}
