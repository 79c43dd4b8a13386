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

// TestHandshakeRequiresCommonKey checks that a message arrives if and only if the
// accepting side holds one of the dialling side's keys.
func TestHandshakeRequiresCommonKey(t *testing.T) {
	cases := []struct {
		name              string
		dialler, acceptor []string
		ok                bool
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
			a, b := newTestPeer(t, "a", withKeys(c.dialler...)), newTestPeer(t, "b", withKeys(c.acceptor...))
			a.Send("b", b.address, testMessage{N: 1})
			if c.ok {
				receive(t, b.delivered)
				return
			}
			receive(t, a.failed)
			if len(b.delivered) != 0 {
				t.Fatal("got a message delivered, want none")
			}
		})
	}
}

// TestHandshakeRejectsUnexpectedPeerName checks that a message is not delivered to
// an instance that proves a name other than that of the message's recipient.
func TestHandshakeRejectsUnexpectedPeerName(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	a.Send("c", b.address, testMessage{N: 1})
	if got := receive(t, a.failed); got.peer != "c" || len(b.delivered) != 0 {
		t.Fatalf("got failure %+v and %d deliveries, want a failure for c and no delivery", got, len(b.delivered))
	}
}

// rawConn is a TCP connection to a test peer, over which the test writes frames
// itself.
type rawConn struct {
	net.Conn
	r *bufio.Reader
}

func dialRaw(t *testing.T, s *testPeer) rawConn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(eventTimeout)); err != nil {
		t.Fatal(err)
	}
	return rawConn{conn, bufio.NewReader(conn)}
}

// send writes one frame.
func (s rawConn) send(t *testing.T, data string) {
	t.Helper()
	frame := append(binary.AppendUvarint(nil, uint64(len(data))), data...)
	if _, err := s.Write(frame); err != nil {
		t.Fatal(err)
	}
}

// receive reads one frame.
func (s rawConn) receive(t *testing.T) string {
	t.Helper()
	var v json.RawMessage
	if err := (frameCodec{limit: constantLimit(maxFrameBytes)}).ReadObject(s.r, &v); err != nil {
		t.Fatal(err)
	}
	return string(v)
}

// waitClosed waits until the other side has closed the connection.
func (s rawConn) waitClosed(t *testing.T) {
	t.Helper()
	if _, err := io.Copy(io.Discard, s.r); err != nil {
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			t.Fatal("got an open connection, want it closed")
		}
	}
}

// TestUnauthenticatedInput checks that input from a client without the key closes
// the connection, delivers no message and leaves other connections working.
func TestUnauthenticatedInput(t *testing.T) {
	const helloFrame = `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"instance":{"ID":"x"},"nonce":"n"}}`
	cases := []struct {
		name string
		act  func(t *testing.T, s rawConn)
	}{
		{"nothing", func(*testing.T, rawConn) {}},
		{"message before the handshake", func(t *testing.T, s rawConn) {
			s.send(t, `{"jsonrpc":"2.0","id":1,"method":"note","params":{"n":1}}`)
		}},
		{"notification before the handshake", func(t *testing.T, s rawConn) {
			s.send(t, `{"jsonrpc":"2.0","method":"note","params":{"n":1}}`)
		}},
		{"proof without hello", func(t *testing.T, s rawConn) {
			s.send(t, `{"jsonrpc":"2.0","id":1,"method":"prove","params":{"proof":""}}`)
		}},
		{"malformed hello", func(t *testing.T, s rawConn) {
			s.send(t, `{"jsonrpc":"2.0","id":1,"method":"hello","params":[1]}`)
			s.receive(t)
		}},
		{"no JSON", func(t *testing.T, s rawConn) { s.send(t, `{`) }},
		{"oversized frame", func(t *testing.T, s rawConn) {
			if _, err := s.Write(binary.AppendUvarint(nil, maxFrameBytes+1)); err != nil {
				t.Fatal(err)
			}
		}},
		{"length that overflows", func(t *testing.T, s rawConn) {
			if _, err := s.Write([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff")); err != nil {
				t.Fatal(err)
			}
		}},
		{"wrong proof, then a message", func(t *testing.T, s rawConn) {
			s.send(t, helloFrame)
			s.receive(t)
			s.send(t, `{"jsonrpc":"2.0","id":2,"method":"prove","params":{"proof":"00"}}`)
			s.receive(t)
			s.send(t, `{"jsonrpc":"2.0","id":3,"method":"note","params":{"n":1}}`)
		}},
	}
	b := newTestPeer(t, "b")
	// The group ends only when all its parallel cases have ended.
	t.Run("all", func(t *testing.T) {
		for _, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				s := dialRaw(t, b)
				c.act(t, s)
				s.waitClosed(t)
			})
		}
	})
	if len(b.delivered) != 0 {
		t.Fatalf("got %+v delivered, want nothing", <-b.delivered)
	}
	a := newTestPeer(t, "a")
	a.Send("b", b.address, testMessage{N: 1})
	receive(t, b.delivered)
}

// TestFrameLimitBeforeHandshake checks the two size limits of frames. The limit
// before the handshake is lower, so that clients without the key can't make an
// instance allocate much memory.
func TestFrameLimitBeforeHandshake(t *testing.T) {
	var c acceptedConn
	for _, want := range []uint64{maxUnauthenticatedFrameBytes, maxFrameBytes} {
		codec := frameCodec{limit: c.frameLimit}
		head := binary.AppendUvarint(nil, want+1)
		var v json.RawMessage
		if err := codec.ReadObject(bufio.NewReader(bytes.NewReader(head)), &v); !trace.IsLimitExceeded(err) {
			t.Fatalf("frame of %d bytes: got %v, want a limit error", want+1, err)
		}
		c.authenticated = true
	}
}

// TestTLS checks that messages are delivered over TLS, and that neither an
// instance without TLS nor one that doesn't trust the certificate can send any.
func TestTLS(t *testing.T) {
	server, client := certificates(t)
	b := newTestPeer(t, "b", withTLS(server, client))
	a := newTestPeer(t, "a", withTLS(server, client))
	a.Send("b", b.address, testMessage{N: 1})
	receive(t, b.delivered)
	plain := newTestPeer(t, "plain", withTimeout(300*time.Millisecond))
	plain.Send("b", b.address, testMessage{N: 2})
	receive(t, plain.failed)
	untrusting := newTestPeer(t, "untrusting", withTLS(server, &tls.Config{}))
	untrusting.Send("b", b.address, testMessage{N: 3})
	receive(t, untrusting.failed)
	if len(b.delivered) != 0 {
		t.Fatalf("got %+v delivered, want nothing", <-b.delivered)
	}
}

// certificates returns TLS settings for a new self-signed certificate.
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

// TestQueryLimit checks that queries beyond maxQueriesPerConn are refused rather
// than queued, and that running queries don't delay messages.
func TestQueryLimit(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	started, release := make(chan struct{}, maxQueriesPerConn), make(chan struct{})
	b.opts.HandleQuery = blockingQuery(started, release)
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	results := make(chan error, maxQueriesPerConn)
	for range maxQueriesPerConn {
		go func() { results <- a.Call(ctx, "b", b.address, "q", testMessage{}, nil) }()
	}
	for range maxQueriesPerConn {
		<-started
	}
	if err := a.Call(ctx, "b", b.address, "q", testMessage{}, nil); err == nil {
		t.Fatal("query above the limit: got no error, want one")
	}
	a.Send("b", b.address, testMessage{N: 1})
	receive(t, b.delivered)
	close(release)
	for range maxQueriesPerConn {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
}
