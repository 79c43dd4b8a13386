package adminapi

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

// fixedResponse is a transport that returns the same response to every request.
type fixedResponse struct {
	status int
	body   string
}

// RoundTrip implements http.RoundTripper.
func (f fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: f.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(f.body))}, nil
}

// FuzzAnswer checks that the client returns an error for every response with a
// status other than 200, whatever its body.
func FuzzAnswer(f *testing.F) {
	f.Add(http.StatusOK, `{"instance":"i","revision":3}`)
	f.Add(http.StatusUnauthorized, `{"error":"key"}`)
	f.Add(http.StatusBadGateway, `<html>`)
	f.Add(http.StatusOK, `[{"id":7}]`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		if status < 200 || status > 599 || status >= 300 && status < 400 {
			return // not a valid final status, or a redirect, which http.Client handles
		}
		c := NewClient("i:1", "key", &http.Client{Transport: fixedResponse{status, body}})
		ctx := context.Background()
		_, err1 := c.Status(ctx)
		_, err2 := c.Instances(ctx)
		_, err3 := c.Endpoints(ctx)
		_, err4 := c.Drain(ctx)
		for _, err := range []error{err1, err2, err3, err4} {
			if err == nil && status != http.StatusOK {
				t.Fatalf("status %d: got no error", status)
			}
		}
	})
}
