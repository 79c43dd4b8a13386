package telemetry

import (
	"context"
	"fmt"
	"net"

	"github.com/rcrowley/go-metrics"
)

// Cause is the cause of traffic, by which its bytes are counted. It is defined
// in docs/CAPACITY.md.
type Cause string

// The causes of traffic.
const (
	// CauseControl is for traffic that occurs whether or not there are requests.
	CauseControl Cause = "control"
	// CauseRequest is for traffic that occurs only because of requests.
	CauseRequest Cause = "request"
)

// Traffic counts the bytes of one path and cause in both directions.
type Traffic struct{ Sent, Received metrics.Counter }

func newTraffic(r metrics.Registry, path string, cause Cause) Traffic {
	name := func(direction string) string {
		return fmt.Sprintf("medlarhold_traffic_bytes_total{path=%q,cause=%q,direction=%q}", path, cause, direction)
	}
	return Traffic{
		Sent:     metrics.GetOrRegisterCounter(name("sent"), r),
		Received: metrics.GetOrRegisterCounter(name("received"), r),
	}
}

// Conn returns a connection that counts the bytes sent and received over c.
func (t Traffic) Conn(c net.Conn) net.Conn { return countedConn{Conn: c, traffic: t} }

// DialContext opens a connection that counts its bytes. With TLS over it, the
// encrypted bytes are counted.
func (t Traffic) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return t.Conn(c), nil
}

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	traffic Traffic
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Inc(int64(n))
	return n, err
}
