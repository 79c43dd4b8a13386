package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/callerapi"
	"github.com/medlarhold/medlarhold/internal/sse"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// maxEventBytes is the largest event that is read from a streamed response.
const maxEventBytes = 1 << 20

// The events of a streamed response.
const (
	eventToken = "token"
	eventEnd   = "end"
)

// streamToken holds the fields of a token event that are printed.
type streamToken struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// streamEnd is the data of the end event.
type streamEnd struct {
	callerapi.Error
	// Tokens is the number of tokens that were sent.
	Tokens int `json:"tokens"`
}

// errNoEndEvent means that a stream ended without an end event.
var errNoEndEvent = errors.New("stream has no end event")

// copyStream prints a streamed response as it arrives and checks that it is
// complete.
func (a *App) copyStream(resp *http.Response) error {
	events := sse.NewReader(resp.Body, maxEventBytes)
	for tokens := 0; ; {
		ev, err := events.Next()
		if err != nil {
			return incompleteAnswer(resp, errors.Join(errNoEndEvent, err))
		}
		switch ev.Name {
		case eventToken:
			tokens++
			if err := a.printToken(ev.Data); err != nil {
				return incompleteAnswer(resp, err)
			}
		case eventEnd:
			fmt.Fprintln(a.Out)
			return a.endStream(resp, ev.Data, tokens)
		}
	}
}

// printToken prints the text of one token event.
func (a *App) printToken(data []byte) error {
	var t streamToken
	if err := json.Unmarshal(data, &t); err != nil {
		return trace.Wrap(err)
	}
	for _, c := range t.Choices {
		fmt.Fprint(a.Out, c.Text)
	}
	return nil
}

// endStream checks the end event: it returns the error that the event reports, or
// an error if the token count differs from that received.
func (a *App) endStream(resp *http.Response, data []byte, tokens int) error {
	var end streamEnd
	if err := json.Unmarshal(data, &end); err != nil {
		return incompleteAnswer(resp, err)
	}
	if end.Verdict != verdict.Ran || end.Reason != verdict.ReasonNone {
		return callerError(end.Error)
	}
	if end.Tokens != tokens {
		return incompleteAnswer(resp, fmt.Errorf("received %d of %d tokens", tokens, end.Tokens))
	}
	return nil
}
