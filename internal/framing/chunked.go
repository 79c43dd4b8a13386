package framing

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
)

// maxTrailerBytes limits the trailer section of a body in chunks.
const maxTrailerBytes = 8 << 10

// ChunkedBody reads a body in chunks and its trailer section, which is discarded.
type ChunkedBody struct {
	source *bufio.Reader
	chunks io.Reader
	err    error
}

// NewChunkedBody returns a ChunkedBody that reads from source, of which it reads nothing that follows.
func NewChunkedBody(source *bufio.Reader) *ChunkedBody {
	return &ChunkedBody{source: source, chunks: httputil.NewChunkedReader(source)}
}

// Read implements io.Reader. It returns io.EOF only after the trailer section.
func (b *ChunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.readTrailer()
	}
	b.err = err
	return n, err
}

// Close implements io.Closer.
func (*ChunkedBody) Close() error { return nil }

// readTrailer reads the trailer section. It returns io.EOF if that is complete.
func (b *ChunkedBody) readTrailer() error {
	check := newTrailerCheck()
	for range maxTrailerBytes {
		c, err := b.source.ReadByte()
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if err := check.Feed([]byte{c}); err != nil {
			return err
		}
		if check.Complete() {
			return io.EOF
		}
	}
	return errTrailerLarge
}
