package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/gravitational/trace"
)

// TestKeys: which keys two sides may hold for a message to arrive.
func TestKeys(t *testing.T) {
	cases := []struct {
		name           string
		dialer, accept []string
		ok             bool
	}{
		{"same key", []string{newKey}, []string{newKey}, true},
		{"wrong key", []string{"wrong-key-0123456789"}, []string{newKey}, false},
		{"dialler has both, acceptor the old one", []string{newKey, oldKey}, []string{oldKey}, true},
		{"dialler has the old one, acceptor both", []string{oldKey}, []string{newKey, oldKey}, true},
		{"dialler has only the new one, acceptor only the old one", []string{newKey}, []string{oldKey}, false},
		{"dialler has none", nil, []string{newKey}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, b := newSide(t, "a", withKeys(c.dialer...)), newSide(t, "b", withKeys(c.accept...))
			a.Send("b", b.address, note{N: 1})
			if c.ok {
				next(t, b.delivered)
				return
			}
			next(t, a.failed)
			if len(b.delivered) != 0 {
				t.Fatal("delivered")
			}
		})
	}
}

// TestWrongName: an address that answers under another name gets no message.
func TestWrongName(t *testing.T) {
	a, b := newSide(t, "a"), newSide(t, "b")
	a.Send("c", b.address, note{N: 1})
	if got := next(t, a.failed); got.peer != "c" || len(b.delivered) != 0 {
		t.Fatalf("%+v", got)
	}
}

// stranger is a raw connection to a side.
type stranger struct {
	net.Conn
	r *bufio.Reader
}

func dialStranger(t *testing.T, s *side) stranger {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(guard)); err != nil {
		t.Fatal(err)
	}
	return stranger{conn, bufio.NewReader(conn)}
}

// send writes one frame.
func (s stranger) send(t *testing.T, data string) {
	t.Helper()
	frame := append(binary.AppendUvarint(nil, uint64(len(data))), data...)
	if _, err := s.Write(frame); err != nil {
		t.Fatal(err)
	}
}

// answer reads one frame.
func (s stranger) answer(t *testing.T) string {
	t.Helper()
	var v json.RawMessage
	if err := (frameCodec{limit: fixedLimit(maxFrameBytes)}).ReadObject(s.r, &v); err != nil {
		t.Fatal(err)
	}
	return string(v)
}

// closed waits until the other side has closed the connection.
func (s stranger) closed(t *testing.T) {
	t.Helper()
	if _, err := io.Copy(io.Discard, s.r); err != nil {
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			t.Fatal("the connection stays open")
		}
	}
}

// TestStrangers: what someone without the key sends harms nothing.
func TestStrangers(t *testing.T) {
	const helloFrame = `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"instance":{"ID":"x"},"nonce":"n"}}`
	cases := []struct {
		name string
		act  func(t *testing.T, s stranger)
	}{
		{"nothing", func(*testing.T, stranger) {}},
		{"message before the handshake", func(t *testing.T, s stranger) {
			s.send(t, `{"jsonrpc":"2.0","id":1,"method":"note","params":{"n":1}}`)
		}},
		{"notification before the handshake", func(t *testing.T, s stranger) {
			s.send(t, `{"jsonrpc":"2.0","method":"note","params":{"n":1}}`)
		}},
		{"proof without hello", func(t *testing.T, s stranger) {
			s.send(t, `{"jsonrpc":"2.0","id":1,"method":"prove","params":{"proof":""}}`)
		}},
		{"malformed hello", func(t *testing.T, s stranger) {
			s.send(t, `{"jsonrpc":"2.0","id":1,"method":"hello","params":[1]}`)
			s.answer(t)
		}},
		{"no JSON", func(t *testing.T, s stranger) { s.send(t, `{`) }},
		{"oversized frame", func(t *testing.T, s stranger) {
			if _, err := s.Write(binary.AppendUvarint(nil, maxFrameBytes+1)); err != nil {
				t.Fatal(err)
			}
		}},
		{"length that overflows", func(t *testing.T, s stranger) {
			if _, err := s.Write([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff")); err != nil {
				t.Fatal(err)
			}
		}},
		{"wrong proof, then a message", func(t *testing.T, s stranger) {
			s.send(t, helloFrame)
			s.answer(t)
			s.send(t, `{"jsonrpc":"2.0","id":2,"method":"prove","params":{"proof":"00"}}`)
			s.answer(t)
			s.send(t, `{"jsonrpc":"2.0","id":3,"method":"note","params":{"n":1}}`)
		}},
	}
	b := newSide(t, "b")
	t.Run("all", func(t *testing.T) {
		for _, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				s := dialStranger(t, b)
				c.act(t, s)
				s.closed(t)
			})
		}
	})
	if len(b.delivered) != 0 {
		t.Fatalf("delivered: %+v", <-b.delivered)
	}
	a := newSide(t, "a")
	a.Send("b", b.address, note{N: 1})
	next(t, b.delivered)
}

// TestStrangerFrame: before the handshake a frame is bounded more tightly, so
// that strangers take no memory.
func TestStrangerFrame(t *testing.T) {
	var c accepted
	for _, want := range []uint64{maxStrangerFrameBytes, maxFrameBytes} {
		codec := frameCodec{limit: c.frameLimit}
		head := binary.AppendUvarint(nil, want+1)
		var v json.RawMessage
		if err := codec.ReadObject(bufio.NewReader(bytes.NewReader(head)), &v); !trace.IsLimitExceeded(err) {
			t.Fatalf("frame of %d bytes: %v", want+1, err)
		}
		c.proved = true
	}
}

// TestTLS: messages go through over TLS, and a side without it is refused.
func TestTLS(t *testing.T) {
	server, client := certificates(t)
	b := newSide(t, "b", withTLS(server, client))
	a := newSide(t, "a", withTLS(server, client))
	a.Send("b", b.address, note{N: 1})
	next(t, b.delivered)
	plain := newSide(t, "plain", withTimeout(300*time.Millisecond))
	plain.Send("b", b.address, note{N: 2})
	next(t, plain.failed)
	untrusting := newSide(t, "untrusting", withTLS(server, &tls.Config{}))
	untrusting.Send("b", b.address, note{N: 3})
	next(t, untrusting.failed)
	if len(b.delivered) != 0 {
		t.Fatalf("delivered: %+v", <-b.delivered)
	}
}

// certificates returns TLS settings around a fresh certificate.
func certificates(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}, &tls.Config{RootCAs: roots}
}

// TestQueriesBound: questions beyond the bound are refused, not queued.
func TestQueriesBound(t *testing.T) {
	a, b := newSide(t, "a"), newSide(t, "b")
	asked, release := make(chan struct{}, maxQueriesPerConn), make(chan struct{})
	b.opts.HandleQuery = blockingQuery(asked, release)
	ctx, cancel := context.WithTimeout(context.Background(), guard)
	defer cancel()
	results := make(chan error, maxQueriesPerConn)
	for range maxQueriesPerConn {
		go func() { results <- a.Call(ctx, "b", b.address, "q", note{}, nil) }()
	}
	for range maxQueriesPerConn {
		<-asked
	}
	if err := a.Call(ctx, "b", b.address, "q", note{}, nil); err == nil {
		t.Fatal("one question too many was taken")
	}
	a.Send("b", b.address, note{N: 1})
	next(t, b.delivered)
	close(release)
	for range maxQueriesPerConn {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
}
