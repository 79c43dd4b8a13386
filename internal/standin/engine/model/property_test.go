package model

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// action is one call to an engine.
type action struct {
	now  time.Time
	kind int
	id   entity.RequestID
	r    Request
}

// The kinds of action.
const (
	doSubmit = iota
	doPause
	doResume
	doCancel
	doImport
	doFreeze
	doUnfreeze
	kindCount
)

func (a action) do(e *Engine) {
	switch a.kind {
	case doSubmit:
		_ = e.Submit(a.now, a.r)
	case doPause:
		_, _ = e.Pause(a.now, a.id)
	case doResume:
		_, _ = e.Resume(a.now, a.id)
	case doCancel:
		_, _ = e.Cancel(a.now, a.id)
	case doImport:
		e.Import(a.now, a.r)
	case doFreeze:
		e.Freeze(a.now)
	case doUnfreeze:
		e.Unfreeze(a.now)
	}
}

func drawActions(t *rapid.T) []action {
	now, submitted := start, 0
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "wait")) * ms)
		a := action{now: now, kind: rapid.IntRange(0, kindCount-1).Draw(t, "kind")}
		if rapid.Bool().Draw(t, "submit") { // more than half of the actions submit a request
			a.kind = doSubmit
		}
		a.id = entity.RequestID(fmt.Sprint(rapid.IntRange(0, submitted).Draw(t, "id")))
		blocks := rapid.IntRange(0, 5).Draw(t, "blocks")
		template := rapid.IntRange(0, 3).Draw(t, "template")
		for i := range blocks {
			a.r.Prefix = append(a.r.Prefix, entity.BlockHash(10*template+i))
		}
		a.r.PromptTokens = 10*blocks + rapid.IntRange(0, 9).Draw(t, "rest")
		a.r.MaxTokens = rapid.IntRange(1, 20).Draw(t, "tokens")
		a.r.OutputTokens = rapid.IntRange(0, 20).Draw(t, "output")
		if a.kind == doSubmit {
			submitted++
			a.r.ID = entity.RequestID(fmt.Sprint(submitted))
		}
		return a
	}), 1, 60).Draw(t, "actions")
}

func smallSettings() Settings {
	s := simpleSettings()
	s.KVTokens, s.MaxRunning, s.MaxWaiting, s.PrefillChunk = 120, 3, 6, 25
	return s
}

// TestInvariantsInRandomHistories checks the order of events and the accounting of memory after
// each action of random histories. In the end it resumes all streams: each must end and free its
// memory.
func TestInvariantsInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(smallSettings())
		h := history{tokens: map[entity.RequestID]int{}, ended: map[entity.RequestID]bool{}}
		last := start
		for _, a := range drawActions(t) {
			a.do(e)
			h.check(t, e.Advance(a.now))
			checkMemory(t, e)
			last = a.now
		}
		e.Unfreeze(last)
		for id := range e.streams { // in any order, because all are resumed
			if _, err := e.Resume(last, id); err != nil {
				t.Fatal(err)
			}
		}
		h.check(t, e.Advance(last.Add(time.Hour)))
		if len(e.streams) != 0 || e.cache.used() != 0 {
			t.Fatalf("an hour after resuming all streams: got %d streams and %d used blocks, want none", len(e.streams), e.cache.used())
		}
	})
}

// history checks that events are in order and complete.
type history struct {
	now    time.Time
	tokens map[entity.RequestID]int
	ended  map[entity.RequestID]bool
}

func (h *history) check(t *rapid.T, events []Event) {
	for _, ev := range events {
		if ev.At.Before(h.now) {
			t.Fatalf("got %+v after an event of %v", ev, h.now)
		}
		h.now = ev.At
		if h.ended[ev.ID] {
			t.Fatalf("got %+v after the end of its stream", ev)
		}
		switch ev.Kind {
		case EventToken:
			if ev.Index != h.tokens[ev.ID] {
				t.Fatalf("got %+v, want token %d", ev, h.tokens[ev.ID])
			}
			h.tokens[ev.ID]++
		case EventEnded:
			h.ended[ev.ID] = true
			if ev.End.CompletionTokens != h.tokens[ev.ID] {
				t.Fatalf("got %+v after %d tokens", ev, h.tokens[ev.ID])
			}
			promptDone := ev.End.PrefillTokens+ev.End.CachedTokens >= ev.End.PromptTokens
			if ev.End.FinishReason.Complete() && !promptDone {
				t.Fatalf("got %+v, which ended without processing its prompt", ev)
			}
		}
	}
}

// checkMemory compares the accounting of the cache with a recount over the streams.
func checkMemory(t *rapid.T, e *Engine) {
	refs, private := map[blockKey]int{}, 0
	for _, s := range e.streams {
		private += s.private
		for _, k := range s.keys[:s.pinned] {
			refs[k]++
		}
		if !s.hasKV && (s.private != 0 || s.pinned != 0) {
			t.Fatalf("stream %+v is marked as holding no memory but holds some", s)
		}
		if s.state == endpoint.StateRunning && !s.hasKV {
			t.Fatalf("stream %+v runs without memory", s)
		}
	}
	if private != e.cache.private || e.cache.private+len(e.cache.shared) > e.cache.total {
		t.Fatalf("got %d private blocks, counted %d; with %d shared ones they must not exceed %d", e.cache.private, private, len(e.cache.shared), e.cache.total)
	}
	idle := 0
	for k, b := range e.cache.shared {
		if b.refs != refs[k] || (b.idle != nil) != (b.refs == 0) {
			t.Fatalf("block %v: got %d references, counted %d, or its place in the idle list is wrong", k, b.refs, refs[k])
		}
		if b.refs == 0 {
			idle++
		}
	}
	if idle != e.cache.idle.Len() {
		t.Fatalf("counted %d idle blocks, got %d in the idle list", idle, e.cache.idle.Len())
	}
	if len(e.running) > e.settings.MaxRunning || len(e.streams) != len(e.running)+len(e.waiting)+len(e.paused) {
		t.Fatalf("got %d running (at most %d), %d waiting and %d paused of %d streams", len(e.running), e.settings.MaxRunning, len(e.waiting), len(e.paused), len(e.streams))
	}
}

// TestResultsDoNotDependOnPolling drives two engines through the same history. One is advanced
// every millisecond, the other only by the actions. Both must produce the same events.
func TestResultsDoNotDependOnPolling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fine, coarse := New(smallSettings()), New(smallSettings())
		var a, b []Event
		now := start
		for _, act := range drawActions(t) {
			for ; now.Before(act.now); now = now.Add(ms) {
				a = append(a, fine.Advance(now)...)
			}
			act.do(fine)
			act.do(coarse)
			now = act.now
		}
		a = append(a, fine.Advance(now.Add(time.Minute))...)
		b = append(b, coarse.Advance(now.Add(time.Minute))...)
		if diff := cmp.Diff(b, a); diff != "" {
			t.Fatal(diff)
		}
		if !slices.IsSortedFunc(a, func(x, y Event) int { return x.At.Compare(y.At) }) {
			t.Fatal("events out of order")
		}
	})
}
