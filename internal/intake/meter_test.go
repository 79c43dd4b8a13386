package intake

import (
	"bytes"
	"strings"
	"testing"
)

// The end of a head is found however its bytes are divided over reads.
func TestEndOfHeadIsFoundInAnyParts(t *testing.T) {
	for _, head := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\r\nHost: h\r\n\n"} {
		for size := 1; size <= len(head); size++ {
			var m meter
			for at := 0; at < len(head); at += size {
				end := min(at+size, len(head))
				if n, got := m.add([]byte(head[at:end])); got != (end == len(head)) || n != end-at {
					t.Errorf("%q in parts of %d: after %d bytes got end %v, want %v", head, size, end, got, end == len(head))
				}
			}
			if m.bytes != int64(len(head)) || m.lines != 3 {
				t.Errorf("%q in parts of %d: got %d bytes in %d lines, want %d in 3", head, size, m.bytes, m.lines, len(head))
			}
		}
	}
}

// The end of a body is found however its bytes are divided over reads, and what follows is left.
func TestEndOfBodyIsFoundInAnyParts(t *testing.T) {
	tests := []struct {
		name   string
		length int64
		body   string
		// trailer is the size of the trailer, with the empty line that ends it.
		trailer int64
	}{
		{"length", 5, "a\r\n\r\n", 0},
		{"chunks", -1, "3\r\na\r\n\r\n1\r\nb\r\n0\r\n\r\n", 2},
		{"extensions", -1, "1;a=b\r\nx\r\n0;a\r\n\r\n", 2},
		{"capitals and zeros", -1, "00A\r\n0123456789\r\n000\r\n\r\n", 2},
		{"trailers", -1, "1\r\nx\r\n0\r\na: b\r\nc:\r\n\r\n", int64(len("a: b\r\nc:\r\n\r\n"))},
	}
	for _, tt := range tests {
		for size := 1; size <= len(tt.body)+3; size++ {
			var m meter
			m.beginBody(tt.length)
			text, taken, ended := tt.body+"GET", 0, false
			for taken < len(text) && !ended {
				n, ends := m.add([]byte(text[taken:min(taken+size, len(text))]))
				taken, ended = taken+n, ends
			}
			if taken != len(tt.body) || !ended || m.bytes != tt.trailer {
				t.Errorf("%s in parts of %d: end %v after %d of %d bytes, %d bytes of trailer, want %d", tt.name, size, ended, taken, len(tt.body), m.bytes, tt.trailer)
			}
		}
	}
}

// Whatever arrives, each byte is taken once, and a head costs no less than its bytes.
func FuzzMeter(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"), int64(0))
	f.Add([]byte("1\r\nx\r\n0\r\n\r\nGET"), int64(-1))
	f.Add([]byte(strings.Repeat("f", 40)+"\n"), int64(-1))
	f.Fuzz(func(t *testing.T, data []byte, length int64) {
		var m meter
		m.beginBody(length % 1000)
		for left := bytes.Clone(data); len(left) > 0; {
			n, ends := m.add(left)
			if n <= 0 || n > len(left) || m.left < 0 || m.cost() < m.bytes {
				t.Fatalf("took %d of %d bytes, %+v", n, len(left), m)
			}
			if left = left[n:]; ends {
				m.next()
			}
		}
	})
}
