package edge

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/intake"
)

const (
	// maxSpoolBytes limits what is held of one answer: the whole answer of a model, with few exceptions.
	maxSpoolBytes = 256 << 10
	// fullPatience is how long a caller may read nothing while its spool is full. Endpoints end a
	// response that isn't read for a few seconds.
	fullPatience = 2 * time.Second
	// roomPollInterval is the time between two attempts to get room in the memory for all callers.
	roomPollInterval = 200 * time.Millisecond
)

// errUnread is returned for an answer that the endpoint ended while it wasn't read, because the caller
// did not read either. It may look like the end of the answer.
var errUnread = errors.New("the endpoint ended an answer that was not read")

// spool reads an answer. Once it has begun, a goroutine takes what the endpoint sends and holds
// it until it is read, up to a limit. So a slow caller keeps no slot of an endpoint, and the endpoint
// does not end the answer.
type spool struct {
	attempt *attempt
	held    *holding

	mu      sync.Mutex
	changed *sync.Cond
	begun   bool
	closed  bool
	// ended is set once the goroutine reads no further.
	ended  bool
	err    error // after what is held, io.EOF for the end of the answer
	chunks []*[streamBufferBytes]byte
	// first and size delimit what is held: size bytes from offset first of the first chunk.
	first, size int
	// fullSince is the time since which the spool has been full and nothing was read from it.
	fullSince time.Time
	// unread is set once the endpoint was kept waiting for long.
	unread bool
	done   chan struct{}
}

func newSpool(a *attempt, h *holding) *spool {
	s := &spool{attempt: a, held: h, done: make(chan struct{})}
	s.changed = sync.NewCond(&s.mu)
	h.watch(s)
	return s
}

// Read implements io.Reader.
func (s *spool) Read(p []byte) (int, error) {
	s.mu.Lock()
	if !s.begun {
		s.mu.Unlock()
		return s.attempt.Read(p)
	}
	defer s.mu.Unlock()
	if s.size == 0 && s.err == nil {
		s.held.SetReading() // the caller has taken all that there is
	}
	for s.size == 0 && s.err == nil && s.held.LetGoCause() == "" {
		s.changed.Wait()
	}
	switch {
	case s.held.LetGoCause() != "":
		return 0, callerError{errLetGo}
	case s.size == 0:
		return 0, s.err
	}
	return s.take(p), nil
}

// wake makes a Read that waits notice that the caller was let go.
func (s *spool) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

// take removes bytes from the spool. The caller must hold s.mu.
func (s *spool) take(p []byte) int {
	end := min(s.first+s.size, streamBufferBytes)
	n := copy(p, s.chunks[0][s.first:end])
	s.first += n
	s.size -= n
	if s.first == streamBufferBytes || s.size == 0 {
		s.dropChunk()
	}
	s.fullSince = time.Time{}
	s.changed.Broadcast()
	return n
}

// dropChunk frees the first chunk. The caller must hold s.mu.
func (s *spool) dropChunk() {
	streamBuffers.Put(s.chunks[0])
	s.chunks[0] = nil
	s.chunks = s.chunks[1:]
	s.first = 0
	s.held.shrink(streamBufferBytes)
}

// begin starts the goroutine. Only the first call has an effect. No Read may be in progress.
func (s *spool) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun || s.closed {
		return
	}
	s.begun = true
	go s.fill()
}

// fill reads the answer to its end.
func (s *spool) fill() {
	defer close(s.done)
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	for s.awaitRoom() {
		n, err := s.attempt.Read(buffer[:])
		if err != nil {
			s.end(err)
		}
		s.put(buffer[:n], err)
		if err != nil {
			return
		}
	}
}

// awaitRoom waits until one more chunk may be held. It returns false if the spool was closed.
func (s *spool) awaitRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.closed && !s.takeRoom() {
		if s.fullSince.IsZero() {
			s.fullSince = time.Now()
		}
		full := time.Since(s.fullSince)
		s.unread = s.unread || full >= fullPatience/4
		if full >= fullPatience && s.size > maxSpoolBytes-streamBufferBytes {
			s.held.LetGo(intake.CauseFull)
		}
		poll := time.AfterFunc(roomPollInterval, s.changed.Broadcast)
		s.changed.Wait()
		poll.Stop()
	}
	return !s.closed
}

// takeRoom counts one more chunk, and returns false if there is no room for it. The caller must hold
// s.mu.
func (s *spool) takeRoom() bool {
	if s.size > maxSpoolBytes-streamBufferBytes {
		return false
	}
	return s.held.grow(streamBufferBytes)
}

// put appends bytes to the spool, for which a chunk is counted, and the error that follows them.
func (s *spool) put(p []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := false // one chunk more is enough: p is no longer than a chunk
	for len(p) > 0 {
		end := s.first + s.size
		if end == len(s.chunks)*streamBufferBytes {
			s.chunks = append(s.chunks, streamBuffers.Get().(*[streamBufferBytes]byte))
			used = true
		}
		n := copy(s.chunks[end/streamBufferBytes][end%streamBufferBytes:], p)
		s.size += n
		p = p[n:]
	}
	if !used {
		s.held.shrink(streamBufferBytes)
	}
	s.err = err
	s.changed.Broadcast()
}

// end records that the endpoint's answer has ended, and frees the slot of a complete one.
func (s *spool) end(err error) {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	if errors.Is(err, io.EOF) && s.attempt.isComplete() {
		s.attempt.outcome.Served = isSuccess(s.attempt.response)
		s.attempt.finish()
	}
}

// close ends the spool and frees what it holds.
func (s *spool) close() {
	s.mu.Lock()
	s.closed = true
	if s.begun && !s.ended {
		s.attempt.response.Abort()
	}
	s.changed.Broadcast()
	begun := s.begun
	s.mu.Unlock()
	if !begun {
		return
	}
	<-s.done
	for len(s.chunks) > 0 {
		s.dropChunk()
	}
	s.size = 0
}

// isUnread reports whether the endpoint was kept waiting for long because the caller read nothing.
func (s *spool) isUnread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unread
}
