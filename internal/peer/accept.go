package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// handshakeTimeout is the time within which the dialling side must prove the
// peer key. After it the connection is closed.
const handshakeTimeout = 2 * time.Second

// acceptedIdleTimeout is the time after which an accepted connection without
// traffic is closed. The dialling side closes idle connections earlier, so this
// affects only connections whose other side has failed.
const acceptedIdleTimeout = 2*idleTimeout + time.Minute

// maxQueriesPerConn is the maximum number of concurrent queries on a connection.
const maxQueriesPerConn = 16

// acceptedConn is one connection that a peer dialled. Its methods run on the
// connection's reading goroutine, except for HandleQuery and its reply.
type acceptedConn struct {
	t                      *Transport
	conn                   net.Conn
	peer                   entity.Instance
	dialNonce, acceptNonce string
	authenticated          bool
	handshakeTimer         *time.Timer
	querySlots             chan struct{}
}

func (t *Transport) accept(conn net.Conn) {
	c := &acceptedConn{t: t, conn: conn, querySlots: make(chan struct{}, maxQueriesPerConn)}
	c.handshakeTimer = time.AfterFunc(handshakeTimeout, func() { conn.Close() })
	t.newConn(conn, c, c.frameLimit, acceptedIdleTimeout)
}

// frameLimit returns the maximum size of the next frame in bytes. It runs on
// the reading goroutine, as Handle does.
func (c *acceptedConn) frameLimit() uint64 {
	if c.authenticated {
		return maxFrameBytes
	}
	return maxUnauthenticatedFrameBytes
}

// Handle implements jsonrpc2.Handler. It delivers messages in the order of their
// arrival.
func (c *acceptedConn) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !c.authenticated {
		c.handleHandshake(ctx, conn, req)
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

// deliver decodes one message and passes it to Options.HandleMessage.
func (c *acceptedConn) deliver(method string, params json.RawMessage) error {
	msg, err := c.t.opts.Registry.decode(method, params)
	if err != nil {
		return err
	}
	if w, ok := msg.(Reservation); ok {
		if msg, err = FromWire(c.t.opts.Clock(), w); err != nil {
			return err
		}
	}
	c.t.opts.HandleMessage(c.peer, msg)
	return nil
}

// query runs a query on a goroutine of its own, so that it doesn't delay the
// messages that follow it. Queries beyond maxQueriesPerConn are refused.
func (c *acceptedConn) query(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, params json.RawMessage) {
	select {
	case c.querySlots <- struct{}{}:
	default:
		c.replyError(ctx, conn, req, jsonrpc2.CodeInternalError, "too many questions at a time")
		return
	}
	go func() {
		defer func() { <-c.querySlots }()
		result, err := c.t.opts.HandleQuery(ctx, c.peer, req.Method, params)
		c.reply(ctx, conn, req, result, err)
	}()
}

// handleHandshake processes the requests before the peer has proved the key.
func (c *acceptedConn) handleHandshake(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	switch req.Method {
	case methodHello:
		result, err := c.handleHello(req)
		c.reply(ctx, conn, req, result, err)
	case methodProve:
		result, err := c.handleProve(req)
		if err == nil {
			c.handshakeTimer.Stop()
			intake.Proved(c.conn)
			c.t.addInbound(c.peer)
			go func() {
				<-conn.DisconnectNotify()
				c.t.removeInbound(c.peer.ID)
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

// reply sends the result or error of a call; a notification gets no reply. If
// the reply can't be written, the connection is closed, so that the other side
// notices.
func (c *acceptedConn) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
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

func (c *acceptedConn) replyError(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, message string) {
	if conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: message}) != nil {
		conn.Close()
	}
}
