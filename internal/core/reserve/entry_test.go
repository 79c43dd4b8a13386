package reserve

import (
	"reflect"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	pool       = entity.PoolID("llm")
	localZone  = entity.ZoneID("here")
	remoteZone = entity.ZoneID("there")
)

var localPool = ZonePool{Pool: pool, Zone: localZone}

var start = time.Unix(1_700_000_000, 0)

func newEntry() *Entry {
	e := New("self", localZone)
	e.SetBrokers(start, map[ZonePool]entity.InstanceID{localPool: "broker"})
	return e
}

func requestSlot(e *Entry, now time.Time, id entity.RequestID) broker.SlotRequest {
	e.RequestSlot(now, Request{ID: id, Pool: pool, Target: now.Add(time.Second), Deadline: now.Add(10 * time.Second)})
	return lastSlotRequest(e)
}

func lastSlotRequest(e *Entry) broker.SlotRequest {
	messages, _ := e.Ready()
	var last broker.SlotRequest
	for _, m := range messages {
		if a, ok := m.Message.(broker.SlotRequest); ok {
			last = a
		}
	}
	return last
}

func messagesTo(messages []entity.Outgoing, name entity.InstanceID) []any {
	var out []any
	for _, m := range messages {
		if m.Instance == name {
			out = append(out, m.Message)
		}
	}
	return out
}

func TestUnresponsiveBrokerDelaysOnlyByAckTimeout(t *testing.T) {
	e := newEntry()
	requestSlot(e, start, "r")
	e.Tick(start.Add(AckTimeout))
	messages, _ := e.Ready()
	if local := messagesTo(messages, LocalBroker); len(local) != 1 {
		t.Fatalf("after %v the local broker got %v, want the slot request", AckTimeout, local)
	}
	e.RequestSlot(start.Add(AckTimeout), Request{ID: "next", Pool: pool, Target: start, Deadline: start.Add(time.Second)})
	messages, _ = e.Ready()
	if len(messagesTo(messages, LocalBroker)) != 1 || len(messagesTo(messages, "broker")) != 0 {
		t.Error("a slot request went to the unresponsive broker, want it at the local broker only")
	}
}

func TestAcknowledgedSlotRequestStaysUntilBrokerFails(t *testing.T) {
	e := newEntry()
	a := requestSlot(e, start, "r")
	e.HandleQueued("broker", broker.Queued{ID: "r", Seq: a.Seq})
	e.Tick(start.Add(2 * AckTimeout))
	messages, _ := e.Ready()
	if len(messagesTo(messages, LocalBroker)) != 0 {
		t.Error("the slot request went to the local broker, want it to stay at the broker that acknowledged it")
	}
	if polls := messagesTo(messages, "broker"); len(polls) != 1 || polls[0] != (Poll{}) {
		t.Errorf("sent %v, want a poll", polls)
	}
	e.PeerFailed(start.Add(3*AckTimeout), "broker")
	messages, _ = e.Ready()
	if len(messagesTo(messages, LocalBroker)) != 1 {
		t.Error("the broker failed and the slot request was not sent to the local broker")
	}
}

func TestOutdatedGrantIsWithdrawn(t *testing.T) {
	e := newEntry()
	a := requestSlot(e, start, "r")
	e.Tick(start.Add(AckTimeout))
	e.Ready()
	e.HandleGrant(start.Add(2*AckTimeout), "broker", broker.Grant{ID: "r", Seq: a.Seq, Endpoint: "e"})
	messages, decisions := e.Ready()
	if len(decisions) != 0 {
		t.Errorf("got decisions %v for an outdated slot request, want none", decisions)
	}
	if got := messagesTo(messages, "broker"); len(got) != 1 || got[0] != (broker.Withdraw{ID: "r", Seq: a.Seq}) {
		t.Errorf("sent %v, want the grant withdrawn", got)
	}
}

func TestNewBrokerGetsRunningReport(t *testing.T) {
	e := newEntry()
	a := requestSlot(e, start, "r")
	e.HandleGrant(start, "broker", broker.Grant{ID: "r", Seq: a.Seq, Endpoint: "e"})
	e.Ready()
	e.SetBrokers(start, map[ZonePool]entity.InstanceID{localPool: "other"})
	e.RequestSlot(start, Request{ID: "next", Pool: pool, Target: start.Add(time.Second), Deadline: start.Add(time.Second)})
	messages, _ := e.Ready()
	got := messagesTo(messages, "other")
	if len(got) != 2 {
		t.Fatalf("sent %v, want a running report and the slot request", got)
	}
	if h, ok := got[0].(broker.RunningReport); !ok || len(h.Requests) != 1 || h.Requests[0].ID != "r" {
		t.Errorf("sent %v, want a report of the running request", got[0])
	}
	e.Done(broker.Done{ID: "r"})
	messages, _ = e.Ready()
	if len(messagesTo(messages, "broker")) != 1 || len(messagesTo(messages, "other")) != 1 {
		t.Errorf("sent %v, want the end reported to both brokers that count the request", messages)
	}
}

func TestLocalGrantIsReportedToPoolBroker(t *testing.T) {
	e := newEntry()
	requestSlot(e, start, "r")
	e.Tick(start.Add(AckTimeout))
	local := lastSlotRequest(e)
	e.HandleGrant(start.Add(UnresponsiveFor+time.Second), LocalBroker, broker.Grant{ID: "r", Seq: local.Seq, Endpoint: "e"})
	messages, decisions := e.Ready()
	if len(decisions) != 1 || decisions[0].Endpoint != "e" {
		t.Fatalf("got decisions %v, want one for endpoint e", decisions)
	}
	if got := messagesTo(messages, "broker"); len(got) != 1 {
		t.Errorf("sent the pool's broker %v, want a report of the run", got)
	}
}

func TestWithdrawRemovesWaitingAndRunningRequests(t *testing.T) {
	e := newEntry()
	a := requestSlot(e, start, "waits")
	b := requestSlot(e, start, "runs")
	e.HandleGrant(start, "broker", broker.Grant{ID: "runs", Seq: b.Seq, Endpoint: "e"})
	e.Ready()
	e.Withdraw("waits")
	e.Withdraw("runs")
	messages, _ := e.Ready()
	got := messagesTo(messages, "broker")
	if len(got) != 2 || got[0] != (broker.Withdraw{ID: "waits", Seq: a.Seq}) || got[1] != (broker.Withdraw{ID: "runs", Seq: b.Seq}) {
		t.Errorf("sent %v, want both withdrawn", got)
	}
	if len(e.waiting)+len(e.running) != 0 {
		t.Error("withdrawn requests are still stored")
	}
}

// A slot request that was forwarded to a zone that is then cut off is sent again
// to the local zone's broker, which must not count as unresponsive.
func TestForwardedSlotRequestReturnsFromUnresponsiveZone(t *testing.T) {
	e := newEntry()
	a := requestSlot(e, start, "r")
	e.HandleForwarded(start, "broker", broker.Forwarded{ID: "r", Seq: a.Seq, To: "far"})
	now := start.Add(AckTimeout)
	e.Tick(now)
	messages, _ := e.Ready()
	got := messagesTo(messages, "broker")
	if len(got) != 1 || !got[0].(broker.SlotRequest).NoForward {
		t.Fatalf("the local zone's broker got %v, want the slot request with NoForward", got)
	}
	if e.Unresponsive(now, "broker") || !e.Unresponsive(now, "far") {
		t.Error("want only the remote zone's broker unresponsive")
	}
}

// A broker audits slots: those of ended requests are withdrawn, and the end of the
// others is reported even to a broker that was marked as unresponsive meanwhile.
func TestAuditedSlots(t *testing.T) {
	e := newEntry()
	a := requestSlot(e, start, "used")
	e.HandleGrant(start, "broker", broker.Grant{ID: "used", Seq: a.Seq, Endpoint: "e"})
	e.PeerFailed(start, "broker")
	w := requestSlot(e, start.Add(UnresponsiveFor), "waits")
	e.Ready()
	e.HandleAudit("broker", broker.Audit{Runs: []broker.AuditedRun{
		{ID: "used", Seq: a.Seq}, {ID: "waits", Seq: w.Seq}, {ID: "ended", Seq: 7}, {ID: "used", Seq: a.Seq + 9},
	}})
	messages, _ := e.Ready()
	want := []any{broker.Withdraw{ID: "ended", Seq: 7}, broker.Withdraw{ID: "used", Seq: a.Seq + 9}}
	if got := messagesTo(messages, "broker"); !reflect.DeepEqual(got, want) {
		t.Errorf("answered %v, want %v", got, want)
	}
	e.Done(broker.Done{ID: "used"})
	messages, _ = e.Ready()
	if got := messagesTo(messages, "broker"); len(got) != 1 {
		t.Errorf("the broker got %v after the end, want one message", got)
	}
}

// Requests that were granted a slot by a broker that is unresponsive now count
// against the share of the slots that the instance may grant itself.
func TestLocalBrokerGetsRunningReport(t *testing.T) {
	e := newEntry()
	a := requestSlot(e, start, "runs")
	e.HandleGrant(start, "broker", broker.Grant{ID: "runs", Seq: a.Seq, Endpoint: "e"})
	e.PeerFailed(start, "broker")
	requestSlot(e, start, "next")
	e.Done(broker.Done{ID: "runs"})
	messages, _ := e.Ready()
	if got := messagesTo(messages, LocalBroker); len(got) != 1 {
		t.Errorf("the local broker got %v after the end, want one message", got)
	}
}
