package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// The two methods of the handshake. The dialling side proves the key first, so
// that a client without the key never receives a proof.
const (
	methodHello = "hello"
	methodProve = "prove"
)

// nonceBytes is the size of a handshake nonce in bytes.
const nonceBytes = 16

// hello is the first request of the handshake.
type hello struct {
	Instance entity.Instance `json:"instance"`
	Nonce    string          `json:"nonce"`
}

// helloReply carries the accepting side's nonce.
type helloReply struct {
	Nonce string `json:"nonce"`
}

// prove carries the dialling side's proof as a request, and the accepting side's
// proof and name as the reply.
type prove struct {
	Proof    string            `json:"proof"`
	Instance entity.InstanceID `json:"instance,omitempty"`
}

// computeProof returns the hex HMAC-SHA-256 that proves knowledge of the key. It
// covers the side, both nonces and the claimed name, so that a proof can't be
// replayed for another handshake, side or instance.
func computeProof(key []byte, side string, id entity.InstanceID, dialNonce, acceptNonce string) string {
	m := hmac.New(sha256.New, key)
	for _, part := range []string{side, string(id), dialNonce, acceptNonce} {
		m.Write([]byte(part))
		m.Write([]byte{0})
	}
	return hex.EncodeToString(m.Sum(nil))
}

func newNonce() string {
	b := make([]byte, nonceBytes)
	rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// handshake runs the dialling side of the handshake and returns the name that
// the other side has proved. It tries the keys in force in their order.
func (t *Transport) handshake(ctx context.Context, conn *jsonrpc2.Conn) (entity.InstanceID, error) {
	nonce := newNonce()
	var reply helloReply
	if err := conn.Call(ctx, methodHello, hello{Instance: t.opts.Self, Nonce: nonce}, &reply); err != nil {
		return "", trace.Wrap(err, "hello")
	}
	keys := t.opts.Keys()
	for i, key := range keys {
		var confirmation prove
		err := conn.Call(ctx, methodProve, prove{Proof: computeProof(key, "dial", t.opts.Self.ID, nonce, reply.Nonce)}, &confirmation)
		if err != nil {
			if i+1 < len(keys) {
				continue
			}
			return "", trace.AccessDenied("peer refused the key: %v", err)
		}
		if !hmac.Equal([]byte(confirmation.Proof), []byte(computeProof(key, "accept", confirmation.Instance, nonce, reply.Nonce))) {
			return "", trace.AccessDenied("peer failed to prove the key")
		}
		return confirmation.Instance, nil
	}
	return "", trace.AccessDenied("no peer key is configured")
}

// handleHello stores the dialling side's name and nonce and returns a nonce of
// this side.
func (c *acceptedConn) handleHello(req *jsonrpc2.Request) (any, error) {
	var h hello
	if req.Params == nil || json.Unmarshal(*req.Params, &h) != nil || h.Instance.ID == "" || h.Nonce == "" {
		return nil, trace.BadParameter("malformed hello")
	}
	c.peer, c.dialNonce, c.acceptNonce = h.Instance, h.Nonce, newNonce()
	return helloReply{Nonce: c.acceptNonce}, nil
}

// handleProve checks the dialling side's proof against each key in force. If one
// matches, it marks the connection as authenticated and returns this side's proof.
func (c *acceptedConn) handleProve(req *jsonrpc2.Request) (any, error) {
	var p prove
	if req.Params == nil || c.dialNonce == "" || json.Unmarshal(*req.Params, &p) != nil {
		return nil, trace.BadParameter("malformed proof")
	}
	for _, key := range c.t.opts.Keys() {
		if hmac.Equal([]byte(p.Proof), []byte(computeProof(key, "dial", c.peer.ID, c.dialNonce, c.acceptNonce))) {
			c.authenticated = true
			self := c.t.opts.Self.ID
			return prove{Proof: computeProof(key, "accept", self, c.dialNonce, c.acceptNonce), Instance: self}, nil
		}
	}
	return nil, trace.AccessDenied("wrong peer key")
}
