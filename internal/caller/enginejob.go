package caller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/prefix"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// pauseRetry is the time between two tries to pause a stream.
const pauseRetry = 20 * time.Millisecond

// controlTimeout bounds a pause, resume or cancel at an engine.
const controlTimeout = 5 * time.Second

// engineJob is a completion on a model engine.
type engineJob struct {
	s    *Server
	out  *streamWriter
	body completionBody
	id   entity.RequestID
	// cancelled is the reason for which the stream was cancelled, if it was.
	cancelled atomic.Pointer[verdict.Error]
	stop      atomic.Pointer[context.CancelFunc]
	ended     atomic.Bool // the call to the engine is over
	result    endpoint.Result
	lastToken time.Time
}

// count returns the tokens of the answer. Valid once the request has ended.
func (j *engineJob) count() int64 { return int64(j.result.Tokens) }

func (j *engineJob) dispatch(ctx context.Context, e entity.Endpoint, d request.Directive) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j.stop.Store(&cancel)
	j.importPrefix(ctx, e, d)
	if c := j.cancelled.Load(); c != nil { // before anything was sent
		j.s.opts.Control.Ended(j.id, request.End{Err: notRun(c)})
		return
	}
	start := j.s.opts.Clock()
	res, err := j.s.opts.Endpoints.Generate(ctx, e.Address, endpoint.GenerateRequest{
		RequestID: j.id, Model: j.body.Model, Adapter: j.body.Adapter, Prompt: j.body.Prompt, MaxTokens: j.body.MaxTokens, Stream: true,
	}, func(t endpoint.Token) error { return j.token(start, t) })
	j.result = res
	unended := false
	if err != nil && verdict.Of(err).Verdict == verdict.MayHaveRun && res.FinishReason == "" {
		unended = !j.stopEngine(ctx, e) // before the slot is given back
	}
	j.ended.Store(true)
	end := j.end(res, err)
	end.Release.MayBeRunning = unended
	if end.Release.Failed {
		j.s.endpointFailed(j.id, e, end.Err)
	}
	j.s.opts.Control.Ended(j.id, end)
}

// notRun is the reason of a cancel for a request that was never sent.
func notRun(c *verdict.Error) *verdict.Error {
	out := *c
	out.Verdict = verdict.NotRun
	return &out
}

// importPrefix moves KV cache from another engine before the dispatch. When it
// fails the engine computes the prompt itself.
func (j *engineJob) importPrefix(ctx context.Context, e entity.Endpoint, d request.Directive) {
	from, ok := j.s.opts.State().Endpoint(d.ImportFrom)
	if d.ImportFrom == "" || !ok {
		return
	}
	j.moveKV(ctx, from.Address, e.Address)
}

// moveKV has the engine at address to fetch what the one at from holds of the prompt.
func (j *engineJob) moveKV(ctx context.Context, from, to string) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	held, err := j.s.opts.Endpoints.Export(ctx, from, endpoint.ExportRequest{
		Model: j.body.Model, Adapter: j.body.Adapter,
		Prefix: endpoint.ToWire(prefix.Hash(j.body.Prompt, j.s.opts.EngineBlockTokens)),
	})
	if err != nil || len(held.Blocks) == 0 {
		return
	}
	_, _ = j.s.opts.Endpoints.Import(ctx, to, endpoint.ImportRequest{
		From: from, Model: j.body.Model, Adapter: j.body.Adapter, Blocks: held.Blocks,
	})
}

// token passes one token on to the caller.
func (j *engineJob) token(start time.Time, t endpoint.Token) error {
	now := j.s.opts.Clock()
	if j.lastToken.IsZero() {
		j.s.opts.Metrics.FirstToken(now.Sub(start))
	} else {
		j.s.opts.Metrics.TokenGap(now.Sub(j.lastToken))
	}
	j.lastToken = now
	return j.out.token(t.Index, t.Text)
}

// end brings the engine's end into the form that the core takes.
func (j *engineJob) end(res endpoint.Result, err error) request.End {
	end := request.End{Release: entity.Release{
		PrefillTokens: res.PrefillTokens, GeneratedTokens: res.Tokens,
		TimeToFirstToken: res.TimeToFirstToken, DecodeTime: res.DecodeTime,
	}}
	m := j.s.opts.Metrics
	m.PrefillTokens.Inc(int64(res.PrefillTokens))
	m.GeneratedTokens.Inc(int64(res.Tokens))
	if err == nil {
		return end
	}
	m.WastedPrefillTokens.Inc(int64(res.PrefillTokens))
	end.Err = verdict.Of(err)
	if c := j.cancelled.Load(); c != nil {
		if end.Err.Verdict == verdict.NotRun {
			c = notRun(c)
		}
		end.Err = c
		return end
	}
	end.Release.Failed = !callersFault(end.Err.Reason)
	return end
}

// callersFault says that a failure tells nothing about the engine.
func callersFault(r verdict.Reason) bool {
	return r == verdict.ReasonCallerGone || r == verdict.ReasonBadRequest
}

func (j *engineJob) pause(ctx context.Context, e entity.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	for !j.ended.Load() && ctx.Err() == nil {
		if _, err := j.s.opts.Endpoints.Pause(ctx, e.Address, j.id); err == nil {
			j.s.opts.Control.Paused(j.id)
			return
		}
		// The dispatch may still be on its way to the engine.
		select {
		case <-ctx.Done():
		case <-time.After(pauseRetry):
		}
	}
	// The stream has ended, which Ended reports, or the engine can't pause:
	// then the slot comes back when the stream ends.
}

func (j *engineJob) resume(ctx context.Context, e entity.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if _, err := j.s.opts.Endpoints.Resume(ctx, e.Address, j.id); err != nil {
		j.abort(&verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonEndpointFailed, Message: "the paused stream could not be resumed"})
	}
}

func (j *engineJob) cancel(ctx context.Context, e entity.Endpoint, d request.Directive) {
	j.cancelled.CompareAndSwap(nil, d.Err)
	// The stream's end mark, which says how much was processed, ends the call.
	if !j.stopEngine(ctx, e) {
		j.abort(d.Err)
	}
}

// stopEngine has the engine stop a stream that no one reads any more, and says
// whether it has. An engine that can't be told stops it after a while without
// a reader.
func (j *engineJob) stopEngine(ctx context.Context, e entity.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), controlTimeout)
	defer cancel()
	_, err := j.s.opts.Endpoints.Cancel(ctx, e.Address, j.id)
	return err == nil
}

// abort ends the call to the engine, after which Ended is reported.
func (j *engineJob) abort(why *verdict.Error) {
	j.cancelled.CompareAndSwap(nil, why)
	if stop := j.stop.Load(); stop != nil {
		(*stop)()
	}
}

func (j *engineJob) finish(d request.Directive) { j.out.finish(d.Err, j.result) }

// errCallerGone ends the hand-over of tokens to a caller that went away.
var errCallerGone = errors.New("caller closed its connection")
