package peer

import (
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// account counts the bytes of one connection by cause, envelopes and
// acknowledgements included: an answer has the cause of its question.
//
// The JSON-RPC connection calls sending before each write, under its lock, and
// received after each read, on its reading goroutine; so the size of a frame
// and its cause need no lock of their own.
type account struct {
	registry         *Registry
	control, request telemetry.Traffic
	writing          telemetry.Traffic
	readBytes        int64
	// answers holds the questions of the other side that requests caused and
	// that have no answer yet.
	mu      sync.Mutex
	answers map[jsonrpc2.ID]struct{}
}

func (t *Transport) newAccount() *account {
	m := t.opts.Metrics
	return &account{registry: t.opts.Registry, control: m.PeerControl, request: m.PeerRequest, answers: make(map[jsonrpc2.ID]struct{})}
}

// ofMethod returns where the bytes of a question are counted.
func (a *account) ofMethod(method string) telemetry.Traffic {
	if a.registry.classOf(method) == ClassRequest {
		return a.request
	}
	return a.control
}

// sending is told what is written next.
func (a *account) sending(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	switch {
	case req != nil:
		a.writing = a.ofMethod(req.Method)
	case a.answered(resp.ID):
		a.writing = a.request
	default:
		a.writing = a.control
	}
}

// answered says whether a request caused the question with this id, and forgets it.
func (a *account) answered(id jsonrpc2.ID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.answers[id]
	delete(a.answers, id)
	return ok
}

// received is told what was read last; with an answer comes its question.
func (a *account) received(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	cause := a.control
	if req != nil {
		cause = a.ofMethod(req.Method)
	}
	cause.Received.Inc(a.readBytes)
	if req != nil && resp == nil && !req.Notif && a.registry.classOf(req.Method) == ClassRequest {
		a.mu.Lock()
		a.answers[req.ID] = struct{}{}
		a.mu.Unlock()
	}
}

// wrote counts the frame that was written.
func (a *account) wrote(n int) {
	if a != nil {
		a.writing.Sent.Inc(int64(n))
	}
}

// read notes the size of the frame that was read, for received.
func (a *account) read(n int) {
	if a != nil {
		a.readBytes = int64(n)
	}
}
