package endpoint

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkDispatch compares dispatches over connections of their own with
// dispatches over pooled ones, for answers of few tokens.
func BenchmarkDispatch(b *testing.B) {
	for _, secure := range []bool{false, true} {
		for _, pooled := range []bool{false, true} {
			b.Run(fmt.Sprintf("tls=%v/pooled=%v", secure, pooled), func(b *testing.B) {
				benchmarkDispatch(b, secure, pooled)
			})
		}
	}
}

func benchmarkDispatch(b *testing.B, secure, pooled bool) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		_, _ = w.Write([]byte("event: token\ndata: {\"index\":0,\"text\":\"a\"}\n\n" +
			"event: end\ndata: {\"finish_reason\":\"stop\",\"completion_tokens\":1}\n\n"))
	}))
	o := Options{}
	if secure {
		s.StartTLS()
		o.TLS = &tls.Config{RootCAs: x509.NewCertPool(), ClientSessionCache: tls.NewLRUClientSessionCache(16)}
		o.TLS.RootCAs.AddCert(s.Certificate())
	} else {
		s.Start()
	}
	defer s.Close()
	c := New(o)
	defer c.Close()
	if pooled {
		c.single = c.pooled
	}
	r := GenerateRequest{RequestID: "a", Prompt: "a prompt", MaxTokens: 1}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Generate(context.Background(), s.Listener.Addr().String(), r, func(Token) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTokens measures the reading of a long stream, per token.
func BenchmarkTokens(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderRequestID, "a")
		for i := range b.N {
			_, _ = fmt.Fprintf(w, "event: token\ndata: {\"index\":%d,\"text\":\"word \"}\n\n", i)
		}
		_, _ = fmt.Fprintf(w, "event: end\ndata: {\"finish_reason\":\"stop\",\"completion_tokens\":%d}\n\n", b.N)
	}))
	defer s.Close()
	c := New(Options{})
	defer c.Close()
	b.ReportAllocs()
	r := GenerateRequest{RequestID: "a", MaxTokens: b.N}
	if _, err := c.Generate(context.Background(), s.Listener.Addr().String(), r, func(Token) error { return nil }); err != nil {
		b.Fatal(err)
	}
}
