package intake

import (
	"errors"
	"io"
)

// firstBodyBytes is the size of the first buffer for a body. Larger ones follow as bytes arrive: a length that a client
// states costs nothing.
const firstBodyBytes = 16 << 10

// ErrNoMemory is returned for a body for which there is no memory.
var ErrNoMemory = errors.New("too much is held for clients")

// Charge counts n more bytes as held, and reports whether there is room for them.
type Charge func(n int64) bool

// Uncharge counts n bytes less as held.
type Uncharge func(n int64)

// ReadBody reads a body to its end. length is its length, negative if it is not known; r fails beyond limit. The buffers
// are charged before they are allocated; what is returned stays charged by its capacity.
func ReadBody(r io.Reader, length, limit int64, charge Charge, uncharge Uncharge) ([]byte, error) {
	body := buffers{largest: limit + 1, charge: charge, uncharge: uncharge}
	if length >= 0 {
		body.largest = length
	}
	for length < 0 || int64(len(body.data)) < length {
		err := body.readFrom(r)
		switch {
		case errors.Is(err, io.EOF) && (length < 0 || int64(len(body.data)) == length):
			return body.data, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
	return body.data, nil
}

// buffers holds a body in a buffer that grows.
type buffers struct {
	data []byte
	// largest is the size of the largest buffer that is needed.
	largest  int64
	charge   Charge
	uncharge Uncharge
}

// readFrom reads once. A full buffer grows only once a byte has come that it can't take.
func (b *buffers) readFrom(r io.Reader) error {
	if len(b.data) < cap(b.data) {
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		return err
	}
	var next [1]byte
	n, err := r.Read(next[:])
	if n == 0 {
		return err
	}
	if !b.grow() {
		return ErrNoMemory
	}
	b.data = append(b.data, next[0])
	return err
}

// grow doubles the buffer. It returns false if there is no memory for it. The old
// buffer is held until its bytes have been copied.
func (b *buffers) grow() bool {
	old := int64(cap(b.data))
	size := min(max(2*old, firstBodyBytes), b.largest)
	if !b.charge(size) {
		return false
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	if old > 0 {
		b.uncharge(old)
	}
	return true
}
