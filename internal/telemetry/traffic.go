package telemetry

import (
	"context"
	"fmt"
	"net"

	"github.com/rcrowley/go-metrics"
)

// Cause says why bytes flow. docs/CAPACITY.md has the definition.
type Cause string

// The causes of traffic.
const (
	// CauseControl is traffic that flows whether or not there are requests.
	CauseControl Cause = "control"
	// CauseRequest rides on requests: without them there is none.
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

// Conn returns a connection whose bytes are counted.
func (t Traffic) Conn(c net.Conn) net.Conn { return countedConn{Conn: c, traffic: t} }

// DialContext opens a connection whose bytes are counted, TLS included.
func (t Traffic) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return t.Conn(c), nil
}

// countedConn counts the bytes of a connection.
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
