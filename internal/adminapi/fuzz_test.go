package adminapi

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

// fixedAnswer is a transport that gives every request the same answer.
type fixedAnswer struct {
	status int
	body   string
}

// RoundTrip implements http.RoundTripper.
func (f fixedAnswer) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: f.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(f.body))}, nil
}

// FuzzAnswer feeds answers of an instance to the client. Only status 200 is success.
func FuzzAnswer(f *testing.F) {
	f.Add(http.StatusOK, `{"instance":"i","revision":3}`)
	f.Add(http.StatusUnauthorized, `{"error":"key"}`)
	f.Add(http.StatusBadGateway, `<html>`)
	f.Add(http.StatusOK, `[{"id":7}]`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		if status < 200 || status > 599 || status >= 300 && status < 400 {
			return // the transport follows redirects
		}
		c := NewClient("i:1", "key", &http.Client{Transport: fixedAnswer{status, body}})
		ctx := context.Background()
		_, err1 := c.Status(ctx)
		_, err2 := c.Instances(ctx)
		_, err3 := c.Endpoints(ctx)
		_, err4 := c.Drain(ctx)
		for _, err := range []error{err1, err2, err3, err4} {
			if err == nil && status != http.StatusOK {
				t.Fatalf("status %d taken as success", status)
			}
		}
	})
}
