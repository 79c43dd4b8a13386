package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// handshakeTimeout bounds how long a stranger may keep a connection open.
const handshakeTimeout = 2 * time.Second

// acceptedIdleTimeout ends an accepted connection that carries nothing. It is
// longer than the dialling side keeps one, so it ends only those whose other
// side is gone.
const acceptedIdleTimeout = 2*idleTimeout + time.Minute

// maxQueriesPerConn bounds the questions of one peer that are answered at a time.
const maxQueriesPerConn = 16

// accepted is one connection that a peer dialled. Its methods run on the
// connection's reading goroutine, but for answers to queries.
type accepted struct {
	t                      *Transport
	peer                   entity.Instance
	dialNonce, acceptNonce string
	proved                 bool
	stranger               *time.Timer
	queries                chan struct{}
}

func (t *Transport) accept(conn net.Conn) {
	c := &accepted{t: t, queries: make(chan struct{}, maxQueriesPerConn)}
	c.stranger = time.AfterFunc(handshakeTimeout, func() { conn.Close() })
	t.newConn(conn, c, c.frameLimit, acceptedIdleTimeout)
}

// frameLimit bounds the next frame. It runs on the reading goroutine, as
// Handle does.
func (c *accepted) frameLimit() uint64 {
	if c.proved {
		return maxFrameBytes
	}
	return maxStrangerFrameBytes
}

// Handle implements jsonrpc2.Handler. Messages are taken over in order.
func (c *accepted) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !c.proved {
		c.handshake(ctx, conn, req)
		return
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if _, ok := c.t.opts.Registry.byMethod[req.Method]; !ok {
		c.query(ctx, conn, req, params)
		return
	}
	c.reply(ctx, conn, req, struct{}{}, c.deliver(req.Method, params))
}

// deliver hands one message over.
func (c *accepted) deliver(method string, params json.RawMessage) error {
	msg, err := c.t.opts.Registry.decode(method, params)
	if err != nil {
		return err
	}
	if w, ok := msg.(Reservation); ok {
		if msg, err = FromWire(c.t.opts.Clock(), w); err != nil {
			return err
		}
	}
	c.t.opts.Deliver(c.peer, msg)
	return nil
}

// query answers a question beside the messages that follow it.
func (c *accepted) query(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, params json.RawMessage) {
	select {
	case c.queries <- struct{}{}:
	default:
		c.replyError(ctx, conn, req, jsonrpc2.CodeInternalError, "too many questions at a time")
		return
	}
	go func() {
		defer func() { <-c.queries }()
		result, err := c.t.opts.HandleQuery(ctx, c.peer, req.Method, params)
		c.reply(ctx, conn, req, result, err)
	}()
}

func (c *accepted) handshake(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	switch req.Method {
	case methodHello:
		result, err := c.answerHello(req)
		c.reply(ctx, conn, req, result, err)
	case methodProve:
		result, err := c.answerProve(req)
		if err == nil {
			c.stranger.Stop()
			c.t.meet(c.peer)
			go func() {
				<-conn.DisconnectNotify()
				c.t.part(c.peer.ID)
			}()
		} else {
			telemetry.Log(c.t.opts.Log, telemetry.EventPeerRefused, "peer", c.peer.ID)
		}
		c.reply(ctx, conn, req, result, err)
	default:
		c.replyError(ctx, conn, req, jsonrpc2.CodeInvalidRequest, "handshake first")
		conn.Close()
	}
}

// reply answers a call; notifications get none. A reply that can't be written
// ends the connection, which the other side notices.
func (c *accepted) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	if req.Notif {
		return
	}
	if err != nil {
		c.replyError(ctx, conn, req, jsonrpc2.CodeInvalidParams, err.Error())
		return
	}
	if conn.Reply(ctx, req.ID, result) != nil {
		conn.Close()
	}
}

func (c *accepted) replyError(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, message string) {
	if conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: message}) != nil {
		conn.Close()
	}
}
