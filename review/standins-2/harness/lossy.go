package harness

import (
	"errors"
	"io"
	"math/rand"
	"net"
	"sync"
	"time"
)

// retransmission is how much later a packet arrives that was lost once: the least time after which TCP
// sends it again.
const retransmission = 200 * time.Millisecond

// Link is the link between the instances and one engine. It loses packets that come from the engine, when it
// is told to: they arrive later, and so does what follows them on their connection.
type Link struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	rng  *rand.Rand
	loss float64
	lost int // ends of connections that came late
}

// NewLink starts a link to an engine.
func (d *Deployment) NewLink(target string, seed int64) (*Link, error) {
	l, err := listen(d.ports.NextAddress())
	if err != nil {
		return nil, err
	}
	link := &Link{listener: l, target: target, rng: rand.New(rand.NewSource(seed))}
	d.c.OnEnd(func() { l.Close() })
	go link.accept()
	return link, nil
}

// Address returns where the instances reach the engine.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetLoss sets the share of packets that are lost.
func (l *Link) SetLoss(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loss = share
}

// LateEnds returns how many ends of connections were lost and came later.
func (l *Link) LateEnds() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// loses decides whether the next packet is lost.
func (l *Link) loses(end bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := l.loss > 0 && l.rng.Float64() < l.loss
	if lost && end {
		l.lost++
	}
	return lost
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

// forward forwards one connection. If the engine's host refuses it, it is reset.
func (l *Link) forward(instance net.Conn) {
	engine, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(instance)
		return
	}
	go func() {
		_, err := io.Copy(engine, instance)
		if err != nil {
			reset(engine)
			return
		}
		engine.Close()
	}()
	buffer := make([]byte, 4<<10)
	for {
		n, err := engine.Read(buffer)
		if l.loses(err != nil) {
			time.Sleep(retransmission)
		}
		if n > 0 {
			if _, err := instance.Write(buffer[:n]); err != nil {
				reset(engine)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			instance.Close()
			return
		case err != nil:
			reset(instance)
			return
		}
	}
}

// reset resets a connection.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only for a closed connection
	}
	conn.Close()
}
