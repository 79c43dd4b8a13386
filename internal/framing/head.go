package framing

import (
	"errors"
	"fmt"
	"strings"
)

// ErrMalformed is wrapped by the errors for bytes that are no response.
var ErrMalformed = errors.New("the bytes are no response")

// Reasons why bytes are no head of a response.
var (
	errStatusLine   = malformed("no status line")
	errSwitched     = malformed("another protocol was not asked for")
	errName         = malformed("the name of a field holds other bytes than those of a token")
	errValue        = malformed("a control byte")
	errLineEnd      = malformed("a line that ends with CR alone")
	errFolded       = malformed("a field on several lines")
	errTwoLengths   = malformed("a length and chunks, or chunks in HTTP/1.0")
	errTrailerLarge = malformed("a trailer section that is too large")
)

func malformed(reason string) error { return fmt.Errorf("%w: %s", ErrMalformed, reason) }

// headState is what the next byte of a head belongs to.
type headState int

const (
	inStatusLine headState = iota
	inReason
	atLineEnd // after the CR of a status line or a field
	atFieldStart
	inName
	inValue
	atHeadEnd // after the CR of the empty line
	afterHead
)

// statusLine is the form of a status line up to its status. Of the bytes that vary, 'v' is the minor version,
// 'c' the class of the status and 'd' one of its other digits.
const statusLine = "HTTP/1.v cdd"

// switchingProtocols is the status of a response after which the connection has another protocol.
const switchingProtocols = "101"

// maxNameBytes is the length up to which names of fields are compared: that of the longest one that matters.
const maxNameBytes = len("transfer-encoding")

// HeadCheck checks the bytes of a head as they arrive. Informational responses are followed by another head. The zero
// value expects a head.
type HeadCheck struct {
	state headState
	// at counts the bytes of the status line.
	at     int
	minor  byte
	status [3]byte
	name   []byte
	// hasLength and hasChunks are set if the head has the fields.
	hasLength, hasChunks bool
	err                  error
}

// newTrailerCheck returns a HeadCheck that expects the fields after the last chunk of a body.
func newTrailerCheck() *HeadCheck {
	return &HeadCheck{state: atFieldStart, status: [3]byte{'2', '0', '0'}, minor: '1'}
}

// Feed checks the next bytes. It returns an error that wraps ErrMalformed as soon as they can't belong to a response,
// and the same error from then on. Bytes after the head are not checked.
func (h *HeadCheck) Feed(p []byte) error {
	for _, b := range p {
		if h.err != nil || h.state == afterHead {
			break
		}
		h.err = h.next(b)
	}
	return h.err
}

// Complete reports whether the head of a final response has ended.
func (h *HeadCheck) Complete() bool { return h.err == nil && h.state == afterHead }

// next checks one byte.
func (h *HeadCheck) next(b byte) error {
	switch h.state {
	case inStatusLine:
		return h.nextOfStatusLine(b)
	case inReason, inValue:
		return h.nextOfText(b)
	case atLineEnd:
		if b != '\n' {
			return errLineEnd
		}
		h.state = atFieldStart
	case atHeadEnd:
		if b != '\n' {
			return errLineEnd
		}
		return h.endHead()
	case atFieldStart:
		return h.nextOfFieldStart(b)
	case inName:
		return h.nextOfName(b)
	}
	return nil
}

func (h *HeadCheck) nextOfStatusLine(b byte) error {
	if h.at == len(statusLine) {
		if b == ' ' {
			h.state = inReason
			return nil
		}
		if b != '\r' && b != '\n' {
			return errStatusLine
		}
		return h.nextOfText(b)
	}
	if !h.fitsStatusLine(b) {
		return errStatusLine
	}
	h.at++
	if h.at == len(statusLine) && string(h.status[:]) == switchingProtocols {
		return errSwitched
	}
	return nil
}

// fitsStatusLine reports whether a byte is the next one of the form of a status line, and keeps it if it varies.
func (h *HeadCheck) fitsStatusLine(b byte) bool {
	switch form := statusLine[h.at]; form {
	case 'v':
		h.minor = b
		return b == '0' || b == '1'
	case 'c':
		h.status[0] = b
		return b >= '1' && b <= '5'
	case 'd':
		h.status[h.at-len(statusLine)+len(h.status)] = b
		return b >= '0' && b <= '9'
	default:
		return b == form
	}
}

// nextOfText checks a byte of a reason or of a field's value, or of the end of their line.
func (h *HeadCheck) nextOfText(b byte) error {
	switch {
	case b == '\r':
		h.state = atLineEnd
	case b == '\n':
		h.state = atFieldStart
	case b < ' ' && b != '\t' || b == 0x7f:
		return errValue
	}
	return nil
}

func (h *HeadCheck) nextOfFieldStart(b byte) error {
	switch b {
	case '\r':
		h.state = atHeadEnd
		return nil
	case '\n':
		return h.endHead()
	case ' ', '\t':
		return errFolded
	}
	h.state, h.name = inName, h.name[:0]
	if b == ':' {
		return errName
	}
	return h.nextOfName(b)
}

func (h *HeadCheck) nextOfName(b byte) error {
	switch {
	case b == ':':
		h.state = inValue
		return h.endName()
	case !isToken(b):
		return errName
	case len(h.name) <= maxNameBytes:
		h.name = append(h.name, b)
	}
	return nil
}

// endName records a field that states the length of the response.
func (h *HeadCheck) endName() error {
	switch strings.ToLower(string(h.name)) {
	case "content-length":
		h.hasLength = true
	case "transfer-encoding":
		h.hasChunks = true
	}
	if h.hasChunks && (h.hasLength || h.minor == '0') {
		return errTwoLengths
	}
	return nil
}

// endHead ends a head. That of an informational response is followed by another one.
func (h *HeadCheck) endHead() error {
	if h.status[0] == '1' {
		*h = HeadCheck{name: h.name}
		return nil
	}
	h.state = afterHead
	return nil
}

// tokenMarks are the bytes of a token that are neither letters nor digits (RFC 9110, section 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

func isToken(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte(tokenMarks, b) >= 0
}
