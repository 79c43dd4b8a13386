package intake

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// DefaultHeadBytes limits a head, in bytes, where nothing else does.
const DefaultHeadBytes = 256 << 10

// Options of a Listener.
type Options struct {
	Account *Account
	// MaxConns is the number of connections that may be open, 0 for any.
	MaxConns int
	// HeadBytes returns the limit on the request line and the header lines of a request in bytes as sent, 0 for
	// DefaultHeadBytes. It is not set for that either.
	HeadBytes func() int64
	// HeadTimeout returns how long a client may take to send a head, counted from its first byte. It is not set if the
	// HTTP server bounds that.
	HeadTimeout func() time.Duration
	// WholeBodies is set if the handler acts on a request only after it has read its body to the end.
	WholeBodies bool
	// WriteTimeout is how long a client may read nothing of what is written to it, 0 if the HTTP server bounds that.
	WriteTimeout time.Duration
	// RetryAfter is when a client that was refused for want of room may come back.
	RetryAfter time.Duration
	// Refused, if set, is told of each request that a connection refuses itself.
	Refused func(reason verdict.Reason, why string, from net.Addr)
	// LetGo, if set, is told of each client that is let go although it owes a request.
	LetGo func(cause Cause)
}

func (o *Options) refused(r refusal, from net.Addr) {
	if o.Refused != nil {
		o.Refused(r.reason, r.message, from)
	}
}

func (o *Options) letGo(r refusal) {
	if o.LetGo == nil {
		return
	}
	cause := CauseMemory
	if r == noConnection {
		cause = CauseConnections
	}
	o.LetGo(cause)
}

// Listener accepts clients' connections for an HTTP server, as many as may be open, each within the limits.
type Listener struct {
	net.Listener
	opts      Options
	room      *room
	lingering atomic.Int64
}

// Listen returns a listener of connections that l accepts. It sets the hooks of h, which must serve from it, and wraps
// h.Handler.
func Listen(l net.Listener, h *http.Server, o Options) *Listener {
	out := &Listener{Listener: l, opts: o, room: newRoom(o.MaxConns)}
	h.ConnContext = connContext
	h.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok {
			c.setState(state)
		}
	}
	h.DisableGeneralOptionsHandler = true // the handler learns of all requests
	h.MaxHeaderBytes = maxServerHeadBytes
	h.Handler = begins{h.Handler}
	return out
}

// maxServerHeadBytes is the limit of the HTTP server itself, beyond any of a Listener.
const maxServerHeadBytes = 16 << 20

// begins tells the connections of their requests.
type begins struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h begins) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c := ConnOf(r); c != nil && !c.begin(r) {
		panic(http.ErrAbortHandler) // the client was told that the request doesn't run
	}
	h.next.ServeHTTP(w, r)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limitUnsent(conn)
		if c := l.admit(conn); c != nil {
			return c, nil
		}
		l.turnAway(conn)
	}
}

// turnAway closes a connection for which there is no room.
func (l *Listener) turnAway(conn net.Conn) {
	l.opts.refused(noConnection, conn.RemoteAddr())
	// Errors are ignored: the connection is closed in any case.
	_ = conn.SetWriteDeadline(time.Now().Add(evictionWriteTimeout))
	_, _ = conn.Write(noConnection.response(l.opts.RetryAfter))
	_ = conn.Close()
}

// admit returns a connection that may stay open, nil if there is no room for it.
func (l *Listener) admit(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, listener: l, since: time.Now()}
	c.holding = l.opts.Account.Open(c.letGo)
	c.holding.setUnfinished()
	if !c.holding.Grow(ConnBytes) || !l.room.admit(c) {
		c.holding.Close()
		return nil
	}
	return c
}

// headLimit returns the limit on a head in force.
func (l *Listener) headLimit() int64 {
	if l.opts.HeadBytes != nil {
		if limit := l.opts.HeadBytes(); limit > 0 {
			return limit
		}
	}
	return DefaultHeadBytes
}
