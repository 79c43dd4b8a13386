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

// maxEventBytes bounds one event of a streamed answer.
const maxEventBytes = 1 << 20

// The events of a streamed answer.
const (
	eventToken = "token"
	eventEnd   = "end"
)

// streamToken is the data of a token event, as far as it is shown.
type streamToken struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// streamEnd is the data of the end mark.
type streamEnd struct {
	callerapi.Error
	// Tokens is the answer's length.
	Tokens int `json:"tokens"`
}

// errNoEnd means that a stream ended without its end mark.
var errNoEnd = errors.New("stream has no end mark")

// copyStream prints a streamed answer as it comes, and checks that it is whole.
func (a *App) copyStream(resp *http.Response) error {
	events := sse.NewReader(resp.Body, maxEventBytes)
	for tokens := 0; ; {
		ev, err := events.Next()
		if err != nil {
			return notWhole(resp, errors.Join(errNoEnd, err))
		}
		switch ev.Name {
		case eventToken:
			tokens++
			if err := a.printToken(ev.Data); err != nil {
				return notWhole(resp, err)
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

// endStream compares the end mark with what was received.
func (a *App) endStream(resp *http.Response, data []byte, tokens int) error {
	var end streamEnd
	if err := json.Unmarshal(data, &end); err != nil {
		return notWhole(resp, err)
	}
	if end.Verdict != verdict.Ran || end.Reason != verdict.ReasonNone {
		return refusalOf(end.Error)
	}
	if end.Tokens != tokens {
		return notWhole(resp, fmt.Errorf("%d tokens of %d", tokens, end.Tokens))
	}
	return nil
}
