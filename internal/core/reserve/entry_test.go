package reserve

import (
	"reflect"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	pool  = entity.PoolID("llm")
	here  = entity.ZoneID("here")
	there = entity.ZoneID("there")
)

var own = ZonePool{Pool: pool, Zone: here}

var start = time.Unix(1_700_000_000, 0)

func newEntry() *Entry {
	e := New("self", here)
	e.SetBrokers(start, map[ZonePool]entity.InstanceID{own: "broker"})
	return e
}

func ask(e *Entry, now time.Time, id entity.RequestID) broker.SlotRequest {
	e.RequestSlot(now, Request{ID: id, Pool: pool, Target: now.Add(time.Second), Deadline: now.Add(10 * time.Second)})
	return lastAsk(e)
}

func lastAsk(e *Entry) broker.SlotRequest {
	messages, _ := e.Ready()
	var last broker.SlotRequest
	for _, m := range messages {
		if a, ok := m.Message.(broker.SlotRequest); ok {
			last = a
		}
	}
	return last
}

func to(messages []entity.Outgoing, name entity.InstanceID) []any {
	var out []any
	for _, m := range messages {
		if m.Instance == name {
			out = append(out, m.Message)
		}
	}
	return out
}

func TestSilentBrokerCostsMilliseconds(t *testing.T) {
	e := newEntry()
	ask(e, start, "r")
	e.Tick(start.Add(AckTimeout))
	messages, _ := e.Ready()
	if local := to(messages, LocalBroker); len(local) != 1 {
		t.Fatalf("after %v the own broker got %v, want the question", AckTimeout, local)
	}
	e.RequestSlot(start.Add(AckTimeout), Request{ID: "next", Pool: pool, Target: start, Deadline: start.Add(time.Second)})
	messages, _ = e.Ready()
	if len(to(messages, LocalBroker)) != 1 || len(to(messages, "broker")) != 0 {
		t.Error("the silent broker was asked again at once")
	}
}

func TestBrokerThatHasTheQuestionIsWaitedFor(t *testing.T) {
	e := newEntry()
	a := ask(e, start, "r")
	e.HandleQueued("broker", broker.Queued{ID: "r", Seq: a.Seq})
	e.Tick(start.Add(2 * AckTimeout))
	messages, _ := e.Ready()
	if len(to(messages, LocalBroker)) != 0 {
		t.Error("asked elsewhere though the broker has the question")
	}
	if polls := to(messages, "broker"); len(polls) != 1 || polls[0] != (Poll{}) {
		t.Errorf("sent %v, want a poll", polls)
	}
	e.PeerFailed(start.Add(3*AckTimeout), "broker")
	messages, _ = e.Ready()
	if len(to(messages, LocalBroker)) != 1 {
		t.Error("the broker is gone and the question was not asked elsewhere")
	}
}

func TestGrantThatComesTooLateIsGivenBack(t *testing.T) {
	e := newEntry()
	a := ask(e, start, "r")
	e.Tick(start.Add(AckTimeout))
	e.Ready()
	e.HandleGrant(start.Add(2*AckTimeout), "broker", broker.Grant{ID: "r", Seq: a.Seq, Endpoint: "e"})
	messages, decisions := e.Ready()
	if len(decisions) != 0 {
		t.Errorf("decided %v by an overtaken question", decisions)
	}
	if got := to(messages, "broker"); len(got) != 1 || got[0] != (broker.Withdraw{ID: "r", Seq: a.Seq}) {
		t.Errorf("sent %v, want the slot given back", got)
	}
}

func TestNewBrokerIsToldWhatRuns(t *testing.T) {
	e := newEntry()
	a := ask(e, start, "r")
	e.HandleGrant(start, "broker", broker.Grant{ID: "r", Seq: a.Seq, Endpoint: "e"})
	e.Ready()
	e.SetBrokers(start, map[ZonePool]entity.InstanceID{own: "other"})
	e.RequestSlot(start, Request{ID: "next", Pool: pool, Target: start.Add(time.Second), Deadline: start.Add(time.Second)})
	messages, _ := e.Ready()
	got := to(messages, "other")
	if len(got) != 2 {
		t.Fatalf("sent %v, want what runs and the question", got)
	}
	if h, ok := got[0].(broker.RunningReport); !ok || len(h.Requests) != 1 || h.Requests[0].ID != "r" {
		t.Errorf("told %v, want the running request", got[0])
	}
	e.Done(broker.Done{ID: "r"})
	messages, _ = e.Ready()
	if len(to(messages, "broker")) != 1 || len(to(messages, "other")) != 1 {
		t.Errorf("the end was told to %v, want both that count it", messages)
	}
}

func TestOwnGrantIsToldToTheBrokerInCharge(t *testing.T) {
	e := newEntry()
	a := ask(e, start, "r")
	_ = a
	e.Tick(start.Add(AckTimeout))
	local := lastAsk(e)
	e.HandleGrant(start.Add(UnresponsiveFor+time.Second), LocalBroker, broker.Grant{ID: "r", Seq: local.Seq, Endpoint: "e"})
	messages, decisions := e.Ready()
	if len(decisions) != 1 || decisions[0].Endpoint != "e" {
		t.Fatalf("decided %v", decisions)
	}
	if got := to(messages, "broker"); len(got) != 1 {
		t.Errorf("told the broker in charge %v, want the run", got)
	}
}

func TestWithdrawnRequestLeavesNothingBehind(t *testing.T) {
	e := newEntry()
	a := ask(e, start, "waits")
	b := ask(e, start, "runs")
	e.HandleGrant(start, "broker", broker.Grant{ID: "runs", Seq: b.Seq, Endpoint: "e"})
	e.Ready()
	e.Withdraw("waits")
	e.Withdraw("runs")
	messages, _ := e.Ready()
	got := to(messages, "broker")
	if len(got) != 2 || got[0] != (broker.Withdraw{ID: "waits", Seq: a.Seq}) || got[1] != (broker.Withdraw{ID: "runs", Seq: b.Seq}) {
		t.Errorf("sent %v, want both taken back", got)
	}
	if len(e.waiting)+len(e.running) != 0 {
		t.Error("something is still remembered")
	}
}

// A question that was passed on to a zone that is then cut off comes back to
// the own zone's broker, which is not blamed for it.
func TestQuestionComesBackFromASilentZone(t *testing.T) {
	e := newEntry()
	a := ask(e, start, "r")
	e.HandleForwarded(start, "broker", broker.Forwarded{ID: "r", Seq: a.Seq, To: "far"})
	now := start.Add(AckTimeout)
	e.Tick(now)
	messages, _ := e.Ready()
	got := to(messages, "broker")
	if len(got) != 1 || !got[0].(broker.SlotRequest).NoForward {
		t.Fatalf("the own broker got %v, want the question, to be kept there", got)
	}
	if e.Unresponsive(now, "broker") || !e.Unresponsive(now, "far") {
		t.Error("the wrong broker counts as silent")
	}
}

// A broker asks about slots: those that ended are given back, and the end of
// those in use will be told also to a broker that had been given up.
func TestAuditedSlots(t *testing.T) {
	e := newEntry()
	a := ask(e, start, "used")
	e.HandleGrant(start, "broker", broker.Grant{ID: "used", Seq: a.Seq, Endpoint: "e"})
	e.PeerFailed(start, "broker")
	w := ask(e, start.Add(UnresponsiveFor), "waits")
	e.Ready()
	e.HandleAudit("broker", broker.Audit{Runs: []broker.AuditedRun{
		{ID: "used", Seq: a.Seq}, {ID: "waits", Seq: w.Seq}, {ID: "ended", Seq: 7}, {ID: "used", Seq: a.Seq + 9},
	}})
	messages, _ := e.Ready()
	want := []any{broker.Withdraw{ID: "ended", Seq: 7}, broker.Withdraw{ID: "used", Seq: a.Seq + 9}}
	if got := to(messages, "broker"); !reflect.DeepEqual(got, want) {
		t.Errorf("answered %v, want %v", got, want)
	}
	e.Done(broker.Done{ID: "used"})
	messages, _ = e.Ready()
	if got := to(messages, "broker"); len(got) != 1 {
		t.Errorf("the broker heard %v of the end, want one message", got)
	}
}

// What runs by grant of the silent broker counts against the part that the
// instance may grant itself.
func TestOwnBrokerHearsWhatRuns(t *testing.T) {
	e := newEntry()
	a := ask(e, start, "runs")
	e.HandleGrant(start, "broker", broker.Grant{ID: "runs", Seq: a.Seq, Endpoint: "e"})
	e.PeerFailed(start, "broker")
	ask(e, start, "next")
	e.Done(broker.Done{ID: "runs"})
	messages, _ := e.Ready()
	if got := to(messages, LocalBroker); len(got) != 1 {
		t.Errorf("the own broker heard %v of the end, want one message", got)
	}
}
