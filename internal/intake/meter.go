package intake

import "bytes"

// What a head costs in memory, in bytes, beside what the bytes of its lines take: the entries of the maps for the
// parsed head and its copies for the endpoint.
const (
	lineCost = 400
	// byteCost is how often a byte of a head is held: as it was parsed, and as it is written to the endpoint.
	byteCost = 4
)

// part is the part of a request that the next byte belongs to.
type part uint8

const (
	partHead part = iota
	// partUndecided: the head has ended, and it is not known yet whether a body follows.
	partUndecided
	partLength
	partChunkSize
	partChunk
	partChunkEnd
	partTrailer
)

// meter follows the bytes of a connection through heads and bodies. It counts the bytes and lines of the head, and of
// the trailer, of the present request.
type meter struct {
	part  part
	bytes int64
	lines int64
	// lineBytes is the length of the present line so far, onlyCR whether it is a carriage return alone.
	lineBytes int
	onlyCR    bool
	// left is how much of the body, or of the present chunk, is still to come.
	left int64
	// sizeRead is set once the digits of a chunk's size have ended.
	sizeRead bool
}

// cost returns what the head costs in memory, in bytes.
func (m *meter) cost() int64 { return m.lines*lineCost + m.bytes*byteCost }

// next begins the next request.
func (m *meter) next() { *m = meter{} }

// beginBody states how the body is delimited: by a length, or in chunks if it is negative. The next request follows a
// body of length 0.
func (m *meter) beginBody(length int64) {
	m.lineBytes, m.left = 0, max(length, 0)
	switch {
	case length < 0:
		m.part, m.sizeRead = partChunkSize, false
	case length == 0:
		m.next()
	default:
		m.part = partLength
	}
}

// add takes the next bytes of a connection, up to the end of the head or the body that they belong to. It returns how
// many it has taken, and whether they end it.
func (m *meter) add(b []byte) (n int, ends bool) {
	for n < len(b) {
		taken, ends := m.addPart(b[n:])
		n += taken
		if ends {
			return n, true
		}
	}
	return n, false
}

// addPart takes bytes of one part.
func (m *meter) addPart(b []byte) (n int, ends bool) {
	switch m.part {
	case partHead, partTrailer:
		return m.addLines(b)
	case partLength:
		n = m.addCounted(b)
		return n, m.left == 0
	case partChunk:
		n = m.addCounted(b)
		if m.left == 0 {
			m.part = partChunkEnd
		}
	case partChunkEnd:
		if n = bytes.IndexByte(b, '\n') + 1; n == 0 {
			return len(b), false
		}
		m.part, m.sizeRead = partChunkSize, false
	case partChunkSize:
		n = m.addSize(b)
	default:
		return len(b), false
	}
	return n, false
}

// addCounted takes bytes up to the end of what is still to come.
func (m *meter) addCounted(b []byte) int {
	n := int(min(m.left, int64(len(b))))
	m.left -= int64(n)
	return n
}

// addLines takes bytes up to an empty line.
func (m *meter) addLines(b []byte) (n int, ends bool) {
	for n < len(b) {
		i := bytes.IndexByte(b[n:], '\n')
		if i < 0 {
			m.addToLine(b[n:])
			return len(b), false
		}
		m.addToLine(b[n : n+i])
		n += i + 1
		m.bytes++
		m.lines++
		empty := m.lineBytes == 0 || m.lineBytes == 1 && m.onlyCR
		m.lineBytes = 0
		if empty {
			return n, true
		}
	}
	return n, false
}

// addToLine takes bytes of one line.
func (m *meter) addToLine(b []byte) {
	if len(b) == 0 {
		return
	}
	if m.lineBytes == 0 {
		m.onlyCR = b[0] == '\r'
	}
	m.lineBytes += len(b)
	m.bytes += int64(len(b))
}

// maxChunkBytes keeps a chunk's size within its type; the HTTP server refuses a larger one.
const maxChunkBytes = 1 << 50

// addSize takes bytes of the line that begins a chunk.
func (m *meter) addSize(b []byte) int {
	for i, c := range b {
		digit, ok := hexDigit(c)
		switch {
		case c == '\n':
			m.part = partChunk
			if m.left == 0 {
				m.part, m.lineBytes = partTrailer, 0
			}
			return i + 1
		case !ok:
			m.sizeRead = true
		case !m.sizeRead && m.left < maxChunkBytes:
			m.left = m.left<<4 | digit
		}
	}
	return len(b)
}

func hexDigit(c byte) (digit int64, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}
