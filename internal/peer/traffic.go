package peer

import (
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// trafficCounter counts the bytes of one connection by cause, including JSON-RPC
// envelopes and acknowledgements. A reply has the cause of the call that it
// answers.
//
// The JSON-RPC connection calls onSend before each write, under its lock, and
// onReceive after each read, on its reading goroutine. Therefore sendTraffic and
// lastReadBytes need no lock.
type trafficCounter struct {
	registry         *Registry
	control, request telemetry.Traffic
	// sendTraffic counts the frame that is being written.
	sendTraffic telemetry.Traffic
	// lastReadBytes is the size of the frame that was read last.
	lastReadBytes int64
	// pendingReplies holds the received calls of CauseRequest that have no reply
	// yet.
	mu             sync.Mutex
	pendingReplies map[jsonrpc2.ID]struct{}
}

func (t *Transport) newTrafficCounter() *trafficCounter {
	m := t.opts.Metrics
	return &trafficCounter{registry: t.opts.Registry, control: m.PeerControl, request: m.PeerRequest,
		pendingReplies: make(map[jsonrpc2.ID]struct{})}
}

// trafficOf returns the counters for the bytes of a call of method.
func (c *trafficCounter) trafficOf(method string) telemetry.Traffic {
	if c.registry.causeOf(method) == CauseRequest {
		return c.request
	}
	return c.control
}

// onSend sets the counters for the frame that is written next.
func (c *trafficCounter) onSend(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	switch {
	case req != nil:
		c.sendTraffic = c.trafficOf(req.Method)
	case c.takePending(resp.ID):
		c.sendTraffic = c.request
	default:
		c.sendTraffic = c.control
	}
}

// takePending reports whether the call with this id has CauseRequest, and removes
// it from pendingReplies.
func (c *trafficCounter) takePending(id jsonrpc2.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.pendingReplies[id]
	delete(c.pendingReplies, id)
	return ok
}

// onReceive counts the frame that was read last. For a reply, req is the call
// that it answers.
func (c *trafficCounter) onReceive(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	traffic := c.control
	if req != nil {
		traffic = c.trafficOf(req.Method)
	}
	traffic.Received.Inc(c.lastReadBytes)
	if req != nil && resp == nil && !req.Notif && c.registry.causeOf(req.Method) == CauseRequest {
		c.mu.Lock()
		c.pendingReplies[req.ID] = struct{}{}
		c.mu.Unlock()
	}
}

// frameWritten counts a written frame of n bytes.
func (c *trafficCounter) frameWritten(n int) {
	if c != nil {
		c.sendTraffic.Sent.Inc(int64(n))
	}
}

// frameRead records the size of a frame, which onReceive counts.
func (c *trafficCounter) frameRead(n int) {
	if c != nil {
		c.lastReadBytes = int64(n)
	}
}
