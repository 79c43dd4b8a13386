package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/sse"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// stream reads the events of one answer, over one or more connections in turn.
type stream struct {
	client  *Client
	address string
	id      entity.RequestID
	onToken func(Token) error
	// next is the index of the token that must come next, limit the maximum
	// number of tokens, or zero for no limit.
	next, limit int
	// attached is set if the engine has confirmed that it has the stream, or is
	// assumed to have it.
	attached bool
	started  time.Time
	first    time.Time
	result   Result
}

func newStream(c *Client, address string, id entity.RequestID, from int, onToken func(Token) error) *stream {
	return &stream{client: c, address: address, id: id, next: from, onToken: onToken, started: time.Now()}
}

// follow reads the stream to its end. It begins with the response a, or with the
// error err of the request, and attaches again after each lost connection.
func (s *stream) follow(ctx context.Context, a *streamResponse, err error) (Result, error) {
	pauses := s.client.newBackoff()
	for tries := 0; ; tries++ {
		if a != nil {
			before := s.next
			err = s.read(a)
			if s.next > before {
				tries = 0
				pauses.Reset()
			}
		}
		if err == nil {
			return s.result, s.endError(ctx)
		}
		if ctx.Err() != nil || !s.mayReattach(err) || tries >= s.client.opts.ReattachAttempts {
			return s.result, s.failure(ctx, err)
		}
		s.countLoss(err)
		sleep(ctx, pauses.NextBackOff())
		a, err = s.client.openStream(ctx, s)
	}
}

// mayReattach reports whether another attempt may find the stream. An engine
// that has not confirmed the dispatch may still be reading it, so that it does
// not know the stream yet.
func (s *stream) mayReattach(err error) bool {
	return errors.Is(err, errConnectionLost) || errors.Is(err, errUnknownStream) && !s.attached
}

func (s *stream) countLoss(err error) {
	s.result.Reattached++
	s.client.count(MetricReattach)
	if isTimeout(err) {
		s.client.count(MetricNoProgress)
	}
}

// failure returns the error of a stream that was abandoned before its end event.
func (s *stream) failure(ctx context.Context, err error) error {
	reason := verdict.ReasonConnectionLost
	switch {
	case errors.Is(err, errUnknownStream) && s.next == 0:
		reason = verdict.ReasonUnknownRequest
	case s.result.Tokens > 0, errors.Is(err, errMalformed):
		reason = verdict.ReasonAnswerIncomplete
	}
	var fromCallback *callbackError
	if errors.As(err, &fromCallback) {
		reason = verdict.ReasonCallerGone
	}
	return s.client.mayHaveRun(ctx, reason, s.address, err)
}

// endError returns the error of a stream that reached its end event, or nil if
// the answer is complete.
func (s *stream) endError(ctx context.Context) error {
	if s.result.FinishReason.Complete() {
		return nil
	}
	return s.client.mayHaveRun(ctx, verdict.ReasonAnswerIncomplete, s.address, fmt.Errorf("stream ended as %q", s.result.FinishReason))
}

// errMalformed marks an answer that breaks the protocol.
var errMalformed = errors.New("malformed answer")

// callbackError wraps the error that onToken returned.
type callbackError struct{ err error }

// Error implements error.
func (e *callbackError) Error() string { return "token not taken: " + e.err.Error() }

// Unwrap returns the error that onToken returned.
func (e *callbackError) Unwrap() error { return e.err }

// read reads events from one connection up to the end event. Its error is
// errConnectionLost, errMalformed or a *callbackError.
func (s *stream) read(a *streamResponse) error {
	defer a.body.Close()
	if a.id != s.id {
		return fmt.Errorf("%w: it is for request %.40q", errMalformed, a.id)
	}
	s.attached = true
	events := sse.NewReader(a.body, s.client.opts.MaxEventBytes)
	for {
		ev, err := events.Next()
		switch {
		case errors.Is(err, sse.ErrTooLarge):
			return fmt.Errorf("%w: %w", errMalformed, err)
		case err != nil:
			return fmt.Errorf("%w: %w", errConnectionLost, err)
		}
		done, err := s.handleEvent(ev)
		if done || err != nil {
			return err
		}
	}
}

// handleEvent processes one event and reports whether it was the end event. It
// ignores events with unknown names.
func (s *stream) handleEvent(ev sse.Event) (bool, error) {
	switch ev.Name {
	case EventToken:
		return false, s.handleToken(ev.Data)
	case EventEnd:
		return true, s.handleEnd(ev.Data)
	}
	return false, nil
}

func (s *stream) handleToken(data []byte) error {
	var t Token
	if err := json.Unmarshal(data, &t); err != nil {
		return fmt.Errorf("%w: token: %w", errMalformed, err)
	}
	if t.Index != s.next {
		return fmt.Errorf("%w: token %d where %d is due", errMalformed, t.Index, s.next)
	}
	if s.limit > 0 && t.Index >= s.limit {
		return fmt.Errorf("%w: more than %d tokens", errMalformed, s.limit)
	}
	now := time.Now()
	if s.first.IsZero() {
		s.first = now
		s.result.TimeToFirstToken = now.Sub(s.started)
	}
	s.result.DecodeTime = now.Sub(s.first)
	if err := s.onToken(t); err != nil {
		return &callbackError{err}
	}
	s.next++
	s.result.Tokens++
	return nil
}

func (s *stream) handleEnd(data []byte) error {
	var end End
	if err := json.Unmarshal(data, &end); err != nil {
		return fmt.Errorf("%w: end mark: %w", errMalformed, err)
	}
	if end.CompletionTokens != s.next {
		return fmt.Errorf("%w: end mark after %d tokens, %d came", errMalformed, end.CompletionTokens, s.next)
	}
	s.result.End = end
	return nil
}
