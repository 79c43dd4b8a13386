package reach

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func TestBypassIsTriedAgainEverMoreRarely(t *testing.T) {
	table := New()
	if !table.Bypassed(start, "e") || table.Next(start, "e") != Bypass {
		t.Fatal("the endpoint is not bypassed")
	}
	var tries []time.Duration
	for passed := time.Duration(0); passed < 16*time.Second; passed += 10 * time.Millisecond {
		now := start.Add(passed)
		if table.Next(now, "e") == Both {
			tries = append(tries, passed)
			table.Bypassed(now, "e")
		}
	}
	if len(tries) < 4 || len(tries) > 7 || tries[0] != firstPause {
		t.Errorf("tried directly after %v, want the first time after %v and then ever more rarely", tries, firstPause)
	}
	table.Reached(start.Add(16*time.Second), "e")
	if got := table.Next(start.Add(16*time.Second), "e"); got != Direct {
		t.Errorf("got way %v after a direct connection, want Direct", got)
	}
}

// One endpoint that this instance alone can't reach says nothing about the others; several do, until
// one of them is reached.
func TestCutOff(t *testing.T) {
	table := New()
	for n := range cutOffAfter {
		if table.CutOff() || table.Next(start, "other") != Direct {
			t.Errorf("cut off with %d bypassed endpoints, want from %d on", n, cutOffAfter)
		}
		table.Bypassed(start.Add(time.Second), fmt.Sprint(n))
	}
	if !table.CutOff() || table.Next(start.Add(time.Second), "other") != Both {
		t.Error("not cut off, want both ways tried for an endpoint that nothing is known of")
	}
	table.Reached(start.Add(2*time.Second), "0")
	if table.CutOff() {
		t.Error("cut off after a direct connection, want not")
	}
	if table.Next(start.Add(2*time.Second), "other") != Direct {
		t.Error("want a direct connection again to an endpoint that nothing is known of")
	}
}

func TestBypassedEndpointsAreForgotten(t *testing.T) {
	table := New()
	table.Bypassed(start, "e")
	table.Expire(start.Add(retention + time.Second))
	if table.Len() != 0 {
		t.Error("an endpoint that was not used is still bypassed")
	}
}
