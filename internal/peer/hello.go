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
// that a stranger learns nothing.
const (
	methodHello = "hello"
	methodProve = "prove"
)

// nonceBytes is the size of a handshake nonce.
const nonceBytes = 16

// hello opens the handshake.
type hello struct {
	Instance entity.Instance `json:"instance"`
	Nonce    string          `json:"nonce"`
}

// helloReply is the accepting side's challenge.
type helloReply struct {
	Nonce string `json:"nonce"`
}

// prove carries the dialling side's proof, its reply the accepting side's.
type prove struct {
	Proof    string            `json:"proof"`
	Instance entity.InstanceID `json:"instance,omitempty"`
}

// proof is the keyed hash that shows knowledge of the key, bound to the side,
// to both nonces and to the name claimed.
func proof(key []byte, side string, id entity.InstanceID, dialNonce, acceptNonce string) string {
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

// greet runs the dialling side of the handshake and returns the name that the
// other side has proved.
func (t *Transport) greet(ctx context.Context, conn *jsonrpc2.Conn) (entity.InstanceID, error) {
	mine := newNonce()
	var reply helloReply
	if err := conn.Call(ctx, methodHello, hello{Instance: t.opts.Self, Nonce: mine}, &reply); err != nil {
		return "", trace.Wrap(err, "hello")
	}
	keys := t.opts.Keys()
	for i, key := range keys {
		var back prove
		err := conn.Call(ctx, methodProve, prove{Proof: proof(key, "dial", t.opts.Self.ID, mine, reply.Nonce)}, &back)
		if err != nil {
			if i+1 < len(keys) {
				continue
			}
			return "", trace.AccessDenied("peer refused the key: %v", err)
		}
		if !hmac.Equal([]byte(back.Proof), []byte(proof(key, "accept", back.Instance, mine, reply.Nonce))) {
			return "", trace.AccessDenied("peer did not prove the key")
		}
		return back.Instance, nil
	}
	return "", trace.AccessDenied("no peer key")
}

// answerHello takes the challenge of the dialling side.
func (c *accepted) answerHello(req *jsonrpc2.Request) (any, error) {
	var h hello
	if req.Params == nil || json.Unmarshal(*req.Params, &h) != nil || h.Instance.ID == "" || h.Nonce == "" {
		return nil, trace.BadParameter("malformed hello")
	}
	c.peer, c.dialNonce, c.acceptNonce = h.Instance, h.Nonce, newNonce()
	return helloReply{Nonce: c.acceptNonce}, nil
}

// answerProve checks the dialling side's proof against each key in force.
func (c *accepted) answerProve(req *jsonrpc2.Request) (any, error) {
	var p prove
	if req.Params == nil || c.dialNonce == "" || json.Unmarshal(*req.Params, &p) != nil {
		return nil, trace.BadParameter("malformed proof")
	}
	for _, key := range c.t.opts.Keys() {
		if hmac.Equal([]byte(p.Proof), []byte(proof(key, "dial", c.peer.ID, c.dialNonce, c.acceptNonce))) {
			c.proved = true
			self := c.t.opts.Self.ID
			return prove{Proof: proof(key, "accept", self, c.dialNonce, c.acceptNonce), Instance: self}, nil
		}
	}
	return nil, trace.AccessDenied("wrong peer key")
}
