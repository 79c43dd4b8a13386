package model

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// simpleSettings returns settings that make durations easy to compute: a decode step takes 10 ms,
// 10 prompt tokens take 1 ms, an iteration processes up to 100 of them, and a block has 10 tokens.
func simpleSettings() Settings {
	return Settings{
		BlockTokens: 10, KVTokens: 1000, MaxRunning: 4, PrefillChunk: 100,
		PrefillTokensPerSec: 10_000, DecodeTokensPerSec: 100, BatchSlowdown: 0.5,
	}
}

// request returns a request whose prompt consists of the given blocks.
func request(id string, tokens int, blocks ...entity.BlockHash) Request {
	return Request{ID: entity.RequestID(id), Prefix: blocks, PromptTokens: 10 * len(blocks), MaxTokens: tokens}
}

func submit(t *testing.T, e *Engine, now time.Duration, r Request) {
	t.Helper()
	if err := e.Submit(at(now), r); err != nil {
		t.Fatal(err)
	}
}

// eventSummary is an event without its details.
type eventSummary struct {
	At   time.Duration
	ID   entity.RequestID
	Kind EventKind
}

func summarise(events []Event) []eventSummary {
	var out []eventSummary
	for _, ev := range events {
		out = append(out, eventSummary{ev.At.Sub(start), ev.ID, ev.Kind})
	}
	return out
}

const ms = time.Millisecond

func TestIterationsOfABatch(t *testing.T) {
	e := New(simpleSettings())
	submit(t, e, 0, request("a", 3, 1, 2)) // 20 prompt tokens: 2 ms
	submit(t, e, 5*ms, request("b", 2, 3, 4, 5))
	got := summarise(e.Advance(at(time.Second)))
	want := []eventSummary{
		{0, "a", EventStarted},
		{2 * ms, "a", EventToken},  // prefill alone
		{12 * ms, "a", EventToken}, // decode alone; b waits for the iteration
		{12 * ms, "b", EventStarted},
		{25 * ms, "a", EventToken}, // decode with 30 tokens of prefill
		{25 * ms, "a", EventEnded},
		{25 * ms, "b", EventToken},
		{35 * ms, "b", EventToken},
		{35 * ms, "b", EventEnded},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

func TestDecodeSlowsWithTheBatch(t *testing.T) {
	s := simpleSettings()
	for n, want := range map[int]time.Duration{1: 10 * ms, 2: 15 * ms, 3: 20 * ms} {
		if got := s.iterationTime(0, n, 1); got != want {
			t.Errorf("%d streams: got %v, want %v", n, got, want)
		}
		if got := s.iterationTime(0, n, 3); got != 3*want {
			t.Errorf("%d streams, slowdown 3: got %v, want %v", n, got, 3*want)
		}
	}
}

func TestLongPromptsAreProcessedInChunks(t *testing.T) {
	e := New(simpleSettings())
	long := request("long", 1)
	long.PromptTokens = 250
	submit(t, e, 0, request("short", 3, 1))
	submit(t, e, 0, long)
	got := summarise(e.Advance(at(time.Second)))
	want := []eventSummary{
		{0, "short", EventStarted},
		{1 * ms, "short", EventToken},
		{1 * ms, "long", EventStarted},
		{21 * ms, "short", EventToken}, // with 100 prompt tokens and a decode
		{41 * ms, "short", EventToken},
		{41 * ms, "short", EventEnded},
		{46 * ms, "long", EventToken}, // with the last 50 prompt tokens
		{46 * ms, "long", EventEnded},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

func TestAdmissionIsFirstComeFirstServed(t *testing.T) {
	e := New(simpleSettings()) // 100 blocks
	big := func(id string, tokens int) Request { return request(id, tokens, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10) }
	submit(t, e, 0, big("a", 500)) // 60 blocks
	submit(t, e, 0, Request{ID: "b", PromptTokens: 100, MaxTokens: 500})
	submit(t, e, 0, request("c", 1, 20)) // would fit, but is queued behind b
	e.Advance(at(ms))
	for id, want := range map[entity.RequestID]endpoint.StreamState{
		"a": endpoint.StateRunning, "b": endpoint.StateWaiting, "c": endpoint.StateWaiting,
	} {
		if got, err := e.Status(at(ms), id); err != nil || got.State != want {
			t.Errorf("%s: got %+v, %v, want %s", id, got, err, want)
		}
	}
	if _, err := e.Cancel(at(ms), "a"); err != nil {
		t.Fatal(err)
	}
	for _, id := range []entity.RequestID{"b", "c"} { // admitted when the iteration ends
		if got, _ := e.Status(at(20*ms), id); got.State != endpoint.StateRunning {
			t.Errorf("%s after the cancellation of a: got %+v, want it running", id, got)
		}
	}
}

func TestSubmitRefusals(t *testing.T) {
	s := simpleSettings()
	s.MaxRunning, s.MaxWaiting, s.Models = 1, 1, []entity.ModelID{"m"}
	s.Adapters = []entity.AdapterID{"x"}
	e := New(s)
	requestFor := func(id string, m entity.ModelID, a entity.AdapterID, tokens int) Request {
		return Request{ID: entity.RequestID(id), Model: m, Adapter: a, PromptTokens: 10, MaxTokens: tokens}
	}
	for _, tt := range []struct {
		r    Request
		want error
	}{
		{requestFor("other model", "n", "", 1), ErrNotLoaded},
		{requestFor("other adapter", "m", "y", 1), ErrNotLoaded},
		{requestFor("too long", "m", "", 991), ErrTooLong},
		{requestFor("no answer", "m", "", 0), ErrTooLong},
		{requestFor("a", "m", "x", 990), nil},
		{requestFor("a", "m", "x", 990), ErrDuplicate},
		{requestFor("b", "m", "", 1), nil},
		{requestFor("c", "m", "", 1), ErrBusy},
	} {
		if err := e.Submit(start, tt.r); !errors.Is(err, tt.want) {
			t.Errorf("%s: got error %v, want %v", tt.r.ID, err, tt.want)
		}
	}
}

// endOf returns the data of a stream's end event.
func endOf(t *testing.T, events []Event, id entity.RequestID) endpoint.End {
	t.Helper()
	for _, ev := range events {
		if ev.Kind == EventEnded && ev.ID == id {
			return ev.End
		}
	}
	t.Fatalf("stream %s has not ended", id)
	return endpoint.End{}
}

func TestPrefixCache(t *testing.T) {
	e := New(simpleSettings())
	submit(t, e, 0, request("a", 1, 1, 2, 3))
	submit(t, e, time.Second, request("b", 1, 1, 2, 9))
	submit(t, e, 2*time.Second, request("same prompt", 1, 1, 2, 3))
	other := request("other model", 1, 1, 2, 3)
	other.Model = "n"
	submit(t, e, 3*time.Second, other)
	events := e.Advance(at(time.Minute))
	// The last prompt token is processed even if its block is cached, hence 29 and not 30.
	for id, cached := range map[entity.RequestID]int{"a": 0, "b": 20, "same prompt": 29, "other model": 0} {
		end := endOf(t, events, id)
		if end.CachedTokens != cached || end.PrefillTokens != 30-cached {
			t.Errorf("%s: got %+v, want %d cached and %d prefill tokens", id, end, cached, 30-cached)
		}
	}
}

func TestLeastRecentBlocksAreEvictedTailFirst(t *testing.T) {
	s := simpleSettings()
	s.KVTokens = 60 // 6 blocks
	e := New(s)
	submit(t, e, 0, request("a", 1, 1, 2))
	submit(t, e, time.Second, request("b", 1, 3, 4))
	submit(t, e, 2*time.Second, request("c", 1, 5, 6)) // needs 3 blocks, evicts one of a's
	e.Advance(at(3 * time.Second))
	for _, tt := range []struct {
		blocks []entity.BlockHash
		want   int
	}{{[]entity.BlockHash{1, 2}, 1}, {[]entity.BlockHash{3, 4}, 2}, {[]entity.BlockHash{5, 6}, 2}} {
		got := e.Export(at(3*time.Second), request("", 1, tt.blocks...))
		if len(got.Blocks) != tt.want {
			t.Errorf("%v: got %d cached blocks, want %d", tt.blocks, len(got.Blocks), tt.want)
		}
	}
	want := []endpoint.CacheEvent{
		{Seq: 1, Stored: []endpoint.BlockHash{1, 2}},
		{Seq: 2, Stored: []endpoint.BlockHash{3, 4}},
		{Seq: 3, Evicted: []endpoint.BlockHash{2}},
		{Seq: 4, Stored: []endpoint.BlockHash{5, 6}},
	}
	got := e.CacheEvents(at(3*time.Second), 0, 10)
	if diff := cmp.Diff(want, got.Events); diff != "" || got.Next != 5 {
		t.Fatalf("got next %d, want 5; events (-want +got):\n%s", got.Next, diff)
	}
}

func TestPauseKeepsKVWhileThereIsRoom(t *testing.T) {
	e := New(simpleSettings())
	submit(t, e, 0, request("a", 10, 1, 2))
	e.Advance(at(22 * ms)) // 3 tokens
	status, err := e.Pause(at(22*ms), "a")
	if err != nil || status != (endpoint.StreamStatus{State: endpoint.StatePaused, Tokens: 3}) {
		t.Fatalf("got %+v, %v, want it paused after 3 tokens", status, err)
	}
	if events := e.Advance(at(time.Hour)); len(events) != 0 {
		t.Fatalf("got events of a paused stream: %+v", events)
	}
	if _, err := e.Resume(at(time.Hour), "a"); err != nil {
		t.Fatal(err)
	}
	events := e.Advance(at(2 * time.Hour))
	if events[0].Kind != EventToken || events[0].Index != 3 || events[0].At != at(time.Hour+10*ms) {
		t.Fatalf("got %+v as first event after the resumption, want token 3 after 10 ms", events[0])
	}
	if end := endOf(t, events, "a"); end.PrefillTokens != 20 || end.CompletionTokens != 10 {
		t.Fatalf("got %+v, want 20 prefill and 10 completion tokens", end)
	}
}

func TestPausedStreamsLoseMemoryToWaitingOnes(t *testing.T) {
	s := simpleSettings()
	s.KVTokens = 100
	e := New(s)
	submit(t, e, 0, request("a", 60, 1, 2))
	e.Advance(at(22 * ms)) // 3 tokens
	if _, err := e.Pause(at(22*ms), "a"); err != nil {
		t.Fatal(err)
	}
	submit(t, e, 22*ms, Request{ID: "b", PromptTokens: 90, MaxTokens: 10})
	if got, _ := e.Status(at(32*ms), "b"); got.State != endpoint.StateRunning {
		t.Fatalf("b: got %+v, want it running", got)
	}
	if got := e.Stats().DroppedTokens; got != 23 {
		t.Fatalf("got %d dropped tokens, want 23", got)
	}
	if _, err := e.Resume(at(32*ms), "a"); err != nil {
		t.Fatal(err)
	}
	events := e.Advance(at(time.Hour))
	// The 20 tokens of the prompt, and after the resumption the 23 whose KV was dropped.
	if end := endOf(t, events, "a"); end.PrefillTokens != 20+23 || end.CompletionTokens != 60 {
		t.Fatalf("got %+v, want 43 prefill and 60 completion tokens", end)
	}
}

// TestResumedStreamLosesMemoryToQueueHead covers a resumed stream that waits and holds the memory
// that the head of the queue needs. Without reclaiming that memory, the queue would be stuck for
// good.
func TestResumedStreamLosesMemoryToQueueHead(t *testing.T) {
	s := simpleSettings()
	s.KVTokens, s.MaxRunning = 100, 1
	e := New(s)
	submit(t, e, 0, request("a", 60, 1))
	if _, err := e.Pause(at(12*ms), "a"); err != nil {
		t.Fatal(err)
	}
	submit(t, e, 12*ms, Request{ID: "short", PromptTokens: 10, MaxTokens: 1})
	submit(t, e, 12*ms, Request{ID: "large", PromptTokens: 90, MaxTokens: 10})
	if _, err := e.Resume(at(12*ms), "a"); err != nil {
		t.Fatal(err)
	}
	events := e.Advance(at(time.Hour))
	for id, want := range map[entity.RequestID]int{"a": 60, "short": 1, "large": 10} {
		if end := endOf(t, events, id); end.CompletionTokens != want {
			t.Errorf("%s: got %+v, want %d completion tokens", id, end, want)
		}
	}
}

func TestCancelInPrefillCountsProcessedTokens(t *testing.T) {
	e := New(simpleSettings())
	r := request("a", 1)
	r.PromptTokens = 250
	submit(t, e, 0, r)
	if _, err := e.Cancel(at(15*ms), "a"); err != nil { // in the second chunk
		t.Fatal(err)
	}
	events := e.Advance(at(15 * ms))
	want := endpoint.End{FinishReason: endpoint.FinishCancelled, PromptTokens: 250, PrefillTokens: 200}
	if got := endOf(t, events, "a"); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	if load := e.Load(at(15 * ms)); load.Running != 0 || load.KVTokens != 0 {
		t.Fatalf("got load %+v after the cancellation, want none", load)
	}
	if _, err := e.Cancel(at(15*ms), "a"); !errors.Is(err, ErrUnknown) {
		t.Fatalf("got error %v from a second cancellation, want %v", err, ErrUnknown)
	}
}

func TestFreezeAndUnfreeze(t *testing.T) {
	e := New(simpleSettings())
	submit(t, e, 0, request("a", 2, 1))
	e.Freeze(at(5 * ms)) // one token at 1 ms, the next was due at 11 ms
	if _, ok := e.Next(); ok {
		t.Fatal("got the end of an iteration from a frozen engine, want none")
	}
	if got := summarise(e.Advance(at(time.Second))); len(got) != 2 {
		t.Fatalf("got events %v, want only the two from before the freeze", got)
	}
	e.Unfreeze(at(time.Second))
	got := summarise(e.Advance(at(time.Hour)))
	want := []eventSummary{{time.Second + 6*ms, "a", EventToken}, {time.Second + 6*ms, "a", EventEnded}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

func TestLoadReportsLag(t *testing.T) {
	s := simpleSettings()
	s.LoadLag = time.Second
	e := New(s)
	submit(t, e, 0, request("a", 1000-10, 1))
	if got := e.Load(at(999 * ms)); got.Running != 0 {
		t.Fatalf("got load %+v at 999 ms, want none running", got)
	}
	want := endpoint.Load{Running: 1, KVTokens: 1000, AsOf: at(0), CacheSeq: 1}
	if got := e.Load(at(time.Second)); got != want {
		t.Fatalf("got load %+v at 1 s, want %+v", got, want)
	}
	if _, err := e.Cancel(at(time.Second), "a"); err != nil {
		t.Fatal(err)
	}
	if got := e.Load(at(1999 * ms)); got.Running != 1 {
		t.Fatalf("got load %+v at 1999 ms, want 1 running", got)
	}
	if got := e.Load(at(2 * time.Second)); got.Running != 0 {
		t.Fatalf("got load %+v at 2 s, want none running", got)
	}
}

func TestCacheEventsComeLate(t *testing.T) {
	s := simpleSettings()
	s.CacheEventDelay = time.Second
	e := New(s)
	submit(t, e, 0, request("a", 1, 1)) // stored at 1 ms
	if got := e.CacheEvents(at(time.Second), 0, 10); len(got.Events) != 0 || got.Next != 1 {
		t.Fatalf("got %+v at 1 s, want no event and next 1", got)
	}
	if got := e.CacheEvents(at(1001*ms), 0, 10); len(got.Events) != 1 || got.Next != 2 {
		t.Fatalf("got %+v at 1001 ms, want one event and next 2", got)
	}
}

func TestLostCacheEventsLeaveAGap(t *testing.T) {
	s := simpleSettings()
	s.CacheEventLoss, s.Seed = 0.5, 3
	e := New(s)
	for i := range 40 {
		submit(t, e, time.Duration(i)*time.Second, request("a", 1, entity.BlockHash(i+1)))
	}
	got := e.CacheEvents(at(time.Minute), 0, 100)
	if n := len(got.Events); n < 10 || n > 30 || got.Next != 41 {
		t.Fatalf("got %d events and next %d, want 10 to 30 of the 40 events and next 41", n, got.Next)
	}
	rest := e.CacheEvents(at(time.Minute), got.Events[4].Seq, 2)
	if diff := cmp.Diff(got.Events[4:6], rest.Events); diff != "" {
		t.Fatal(diff)
	}
}

func TestCacheEventsStartOverAfterRestart(t *testing.T) {
	e := New(simpleSettings())
	submit(t, e, 0, request("a", 1, 1))
	submit(t, e, time.Second, request("b", 1, 1, 2, 3))
	// A reader that followed the engine before its restart asks for a number beyond the new ones.
	got := e.CacheEvents(at(time.Minute), 500, 10)
	want := []endpoint.CacheEvent{
		{Seq: 1, Stored: []endpoint.BlockHash{1}},
		{Seq: 2, First: 1, Stored: []endpoint.BlockHash{2, 3}},
	}
	if diff := cmp.Diff(want, got.Events); diff != "" || got.Next != 3 {
		t.Fatalf("got next %d, want 3; events (-want +got):\n%s", got.Next, diff)
	}
}

func TestImportStopsWhereThereIsNoRoom(t *testing.T) {
	s := simpleSettings()
	s.KVTokens = 50
	e := New(s)
	submit(t, e, 0, request("a", 20, 1)) // 3 blocks of 5
	r := request("", 1, 1, 2, 3, 4)
	e.Advance(at(ms)) // block 1 is shared
	imported, ready := e.Import(at(ms), r)
	if imported != 2 || !ready.Equal(at(ms+100*time.Microsecond)) {
		t.Fatalf("got %d blocks imported at %v, want 2 at 1.1ms", imported, ready.Sub(start))
	}
	if got := e.Export(at(ms), r); len(got.Blocks) != 3 {
		t.Fatalf("got %d cached blocks, want 3", len(got.Blocks))
	}
}

func TestOrdersTakeTimeAndExpire(t *testing.T) {
	s := simpleSettings()
	s.Models, s.OrderTime = []entity.ModelID{"m"}, time.Second
	e := New(s)
	order := func(m entity.ModelID, expires int64) endpoint.Order {
		return endpoint.Order{Kind: endpoint.OrderLoadModel, Model: m, Version: "1", ExpiresMs: expires}
	}
	for _, o := range []endpoint.Order{order("late", 999), order("good", 1000)} {
		if _, err := e.HandleOrder(start, o); err != nil {
			t.Fatal(err)
		}
	}
	if got := e.OrderStatus(at(999 * ms)); len(got.Models) != 1 {
		t.Fatalf("got %+v at 999 ms, want only the initial model", got)
	}
	want := map[entity.ModelID]string{"m": "", "good": "1"}
	if diff := cmp.Diff(want, e.OrderStatus(at(time.Second)).Models); diff != "" {
		t.Fatal(diff)
	}
}
