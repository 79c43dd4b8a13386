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

// pauseRetry is the time between two attempts to pause a stream.
const pauseRetry = 20 * time.Millisecond

// controlTimeout bounds a pause, resume or cancel at an engine.
const controlTimeout = 5 * time.Second

// engineJob is a completion on a model engine.
type engineJob struct {
	s    *Server
	out  *streamWriter
	body completionBody
	id   entity.RequestID
	// cancelled is the reason why the request was cancelled, nil if it was not.
	cancelled atomic.Pointer[verdict.Error]
	// cancelCall cancels the context of the call to the engine.
	cancelCall atomic.Pointer[context.CancelFunc]
	ended      atomic.Bool // the call to the engine is over
	result     endpoint.Result
	lastToken  time.Time
}

// tokenCount returns the number of tokens of the answer. It is valid once the request has ended.
func (j *engineJob) tokenCount() int64 { return int64(j.result.Tokens) }

func (j *engineJob) dispatch(ctx context.Context, e entity.Endpoint, d request.Directive) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j.cancelCall.Store(&cancel)
	j.importPrefix(ctx, e, d)
	if c := j.cancelled.Load(); c != nil { // nothing was sent yet
		j.s.opts.Control.Ended(j.id, request.End{Err: notRun(c)})
		return
	}
	start := j.s.opts.Clock()
	res, err := j.s.opts.Endpoints.Generate(ctx, e.Address, endpoint.GenerateRequest{
		RequestID: j.id, Model: j.body.Model, Adapter: j.body.Adapter, Prompt: j.body.Prompt, MaxTokens: j.body.MaxTokens, Stream: true,
	}, func(t endpoint.Token) error { return j.token(start, t) })
	j.result = res
	mayBeRunning := false
	if err != nil && verdict.Of(err).Verdict == verdict.MayHaveRun && res.FinishReason == "" {
		mayBeRunning = !j.cancelStream(ctx, e) // before the slot is released
	}
	j.ended.Store(true)
	end := j.end(res, err)
	end.Release.MayBeRunning = mayBeRunning
	if end.Release.Failed {
		j.s.endpointFailed(j.id, e, end.Err)
	}
	j.s.opts.Control.Ended(j.id, end)
}

// notRun returns a copy of the cancellation's reason with the verdict NotRun, for a request that never ran.
func notRun(c *verdict.Error) *verdict.Error {
	out := *c
	out.Verdict = verdict.NotRun
	return &out
}

// importPrefix transfers KV cache of the prompt from the engine d.ImportFrom before
// the dispatch, if one is named. If the transfer fails, the engine computes the
// prompt itself.
func (j *engineJob) importPrefix(ctx context.Context, e entity.Endpoint, d request.Directive) {
	from, ok := j.s.opts.State().Endpoint(d.ImportFrom)
	if d.ImportFrom == "" || !ok {
		return
	}
	j.transferKV(ctx, from.Address, e.Address)
}

// transferKV makes one engine fetch the KV cache blocks of the prompt that another
// one holds; from and to are their addresses. Errors are ignored.
func (j *engineJob) transferKV(ctx context.Context, from, to string) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	exported, err := j.s.opts.Endpoints.Export(ctx, from, endpoint.ExportRequest{
		Model: j.body.Model, Adapter: j.body.Adapter,
		Prefix: endpoint.ToWire(prefix.Hash(j.body.Prompt, j.s.opts.EngineBlockTokens)),
	})
	if err != nil || len(exported.Blocks) == 0 {
		return
	}
	_, _ = j.s.opts.Endpoints.Import(ctx, to, endpoint.ImportRequest{
		From: from, Model: j.body.Model, Adapter: j.body.Adapter, Blocks: exported.Blocks,
	})
}

// token forwards one token to the caller and records its latency.
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

// end returns the end of the dispatch for the decision core, and counts its tokens.
// If the request was cancelled, the cancellation's reason replaces the error of the
// call.
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

// callersFault reports whether a failure is due to the caller and not to the engine.
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
		// The dispatch may not have reached the engine yet: try again.
		select {
		case <-ctx.Done():
		case <-time.After(pauseRetry):
		}
	}
	// Either the stream has ended, which dispatch reports with Ended, or the
	// engine can't pause it, and the slot is released when the stream ends.
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
	// After a successful cancel the call ends with the stream's end event, which
	// carries the number of processed tokens.
	if !j.cancelStream(ctx, e) {
		j.abort(d.Err)
	}
}

// cancelStream cancels the stream at the engine and reports whether the engine has
// confirmed it. An engine that cannot be reached stops the stream by itself after
// some time without a reader.
func (j *engineJob) cancelStream(ctx context.Context, e entity.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), controlTimeout)
	defer cancel()
	_, err := j.s.opts.Endpoints.Cancel(ctx, e.Address, j.id)
	return err == nil
}

// abort cancels the call to the engine for the given reason. dispatch then reports
// the end.
func (j *engineJob) abort(reason *verdict.Error) {
	j.cancelled.CompareAndSwap(nil, reason)
	if cancel := j.cancelCall.Load(); cancel != nil {
		(*cancel)()
	}
}

func (j *engineJob) finish(d request.Directive) { j.out.finish(d.Err, j.result) }

// errCallerGone is the error of a write to a caller that has closed its connection.
var errCallerGone = errors.New("caller closed its connection")
