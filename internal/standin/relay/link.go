package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is one forwarded connection with its two directions.
type link struct {
	relay          *Relay
	client, target net.Conn
	// stalled is guarded by the relay's lock.
	stalled bool
	once    sync.Once
	done    chan struct{}
	// broken is set once a connection was reset: the other one must not look as if it had ended.
	broken atomic.Bool
}

func newLink(r *Relay, client, target net.Conn) *link {
	return &link{relay: r, client: client, target: target, done: make(chan struct{})}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		l.client.Close()
		l.target.Close()
	})
}

// run forwards until both directions have ended.
func (l *link) run() {
	defer l.close()
	toTarget := func(f *Faults) Direction { return f.ToTarget }
	fromTarget := func(f *Faults) Direction { return f.FromTarget }
	var both sync.WaitGroup
	both.Go(func() { l.pipe(l.target, l.client, toTarget) })
	both.Go(func() { l.pipe(l.client, l.target, fromTarget) })
	both.Wait()
}

// reset ends the link by resetting both connections.
func (l *link) reset() {
	for _, conn := range []net.Conn{l.client, l.target} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only for a closed connection
		}
	}
	l.close()
}

const (
	// chunkBytes bounds one read. chunksInFlight bounds the chunks that a direction holds while it
	// delays them.
	chunkBytes     = 32 << 10
	chunksInFlight = 64
)

// chunk is the data of one read with its time.
type chunk struct {
	data []byte
	read time.Time
}

// pipe forwards bytes from src to dst. When src ends, it closes the writing side of dst.
func (l *link) pipe(dst, src net.Conn, direction func(*Faults) Direction) {
	chunks := make(chan chunk, chunksInFlight)
	var reading sync.WaitGroup
	reading.Go(func() { l.readChunks(src, chunks) })
	defer reading.Wait()
	for c := range chunks {
		if !l.hold(c, direction) {
			l.close()
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			l.close()
		}
	}
	if l.hold(chunk{read: time.Now()}, direction) {
		if l.broken.Load() {
			l.reset()
			return
		}
		if half, ok := dst.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite() // fails only if the connection has already been closed
		}
	}
}

// readChunks reads until src ends.
func (l *link) readChunks(src net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case chunks <- chunk{data: buf[:n], read: time.Now()}:
			case <-l.done:
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				l.broken.Store(true)
			}
			return
		}
	}
}

// hold waits until the faults allow forwarding the chunk. It returns false if the link was closed
// in the meantime.
func (l *link) hold(c chunk, direction func(*Faults) Direction) bool {
	for {
		l.relay.mu.Lock()
		d := direction(&l.relay.faults)
		stalled := l.stalled || d.Stalled
		changed := l.relay.changed
		l.relay.mu.Unlock()
		wait := time.Until(c.read.Add(d.Delay))
		if !stalled && wait <= 0 {
			return true
		}
		if !l.waitFor(changed, stalled, wait) {
			return false
		}
	}
}

// waitFor waits for a change of the faults or, unless stalled, for wait to pass. It returns false
// if the link was closed in the meantime.
func (l *link) waitFor(changed <-chan struct{}, stalled bool, wait time.Duration) bool {
	var delay <-chan time.Time
	if !stalled {
		t := time.NewTimer(wait)
		defer t.Stop()
		delay = t.C
	}
	select {
	case <-delay:
	case <-changed:
	case <-l.done:
		return false
	}
	return true
}
