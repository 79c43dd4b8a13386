package framing

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

const goodHead = "HTTP/1.1 200 OK\r\nX-Any!#$%&'*+-.^_`|~1: some \ttext \xff\r\nContent-Length: 3\r\n\r\n"

func TestHeadsThatAreNone(t *testing.T) {
	line := func(field string) string { return "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n" }
	status := func(s string) string { return "HTTP/1.1 " + s + "\r\n\r\n" }
	tests := map[string]string{
		"status 000": status("000 X"), "status 099": status("099 X"), "status +20": status("+20 X"), "status 600": status("600 X"),
		"status -12": status("-12 X"), "two digits": status("20 X"), "four digits": status("2000 X"), "leading zero": status("0200 OK"),
		"letters": status("2OO OK"), "no status": status(""), "two blanks": status(" 200 OK"), "tab": "HTTP/1.1\t200 OK\r\n\r\n",
		"switching protocols": status("101 X"), "control byte in the reason": status("200 O\x01K"),
		"other protocol": "HTTP/2.0 200 OK\r\n\r\n", "minor version": "HTTP/1.2 200 OK\r\n\r\n", "lower case": "http/1.1 200 OK\r\n\r\n",
		"text": "oops", "empty line": "\r\nHTTP/1.1 200 OK\r\n\r\n",
		"blank in a name": line("X Odd: 1"), "blank before the colon": line("X-Odd : 1"), "tab before the colon": line("X-Odd\t: 1"),
		"control byte in a name": line("X-\x01Odd: 1"), "NUL in a name": line("X-\x00Odd: 1"), "DEL in a name": line("X-\x7fOdd: 1"),
		"high byte in a name": line("X-\xe9Odd: 1"), "bracket in a name": line("X(Odd): 1"), "no name": line(": 1"), "no colon": line("XOdd"),
		"folded": line("X-Odd: 1\r\n 2"), "first line folded": line(" X-Odd: 1"), "CR alone": line("X-Odd: 1\r2"), "NUL in a value": line("X-Odd: \x00"),
		"control byte in a value": line("X-Odd: \x1b[0m"), "length and chunks": line("Content-Length: 3\r\nTransfer-Encoding: chunked"),
		"chunks and length": line("transfer-encoding: chunked\r\ncontent-length: 3"), "chunks in HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"after an informational response": "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\n\r\n",
	}
	for name, sent := range tests {
		for size := range 3 { // bytes at a time; 0 for all at once
			var h HeadCheck
			if err := feed(&h, sent, size); !errors.Is(err, ErrMalformed) || h.Complete() {
				t.Errorf("%s, %d bytes at a time: got error %v, complete %v, want malformed", name, size, err, h.Complete())
			}
		}
	}
}

// feed checks bytes, some at a time or all at once.
func feed(h *HeadCheck, sent string, size int) (err error) {
	for len(sent) > 0 && err == nil {
		n := len(sent)
		if size > 0 {
			n = min(n, size)
		}
		err, sent = h.Feed([]byte(sent[:n])), sent[n:]
	}
	return err
}

func TestGoodHeads(t *testing.T) {
	for _, sent := range []string{
		goodHead, "HTTP/1.0 404\r\n\r\n", "HTTP/1.1 599 \r\nA:\r\n\r\n", "HTTP/1.1 200 OK\nA: 1\n\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n" + goodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for size := range 3 {
			var h HeadCheck
			if err := feed(&h, sent, size); err != nil || !h.Complete() {
				t.Errorf("%q, %d bytes at a time: got error %v, complete %v, want a head", sent, size, err, h.Complete())
			}
			if err := h.Feed([]byte("\x00 body")); err != nil {
				t.Errorf("%q: got error %v for the body, want none", sent, err)
			}
		}
	}
}

// A head is complete with its empty line, not a byte before.
func TestHeadIsCompleteAtItsLastByte(t *testing.T) {
	for n := range len(goodHead) {
		var h HeadCheck
		if err := h.Feed([]byte(goodHead[:n])); err != nil || h.Complete() {
			t.Errorf("after %q: got error %v, complete %v, want a head that goes on", goodHead[:n], err, h.Complete())
		}
	}
}

// Whatever the bytes: a head that passes is one for net/http too unless its length can't be read, and how the bytes
// arrive changes nothing.
func FuzzHeadCheck(f *testing.F) {
	f.Add([]byte(goodHead), 1)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\n\r\n"), 7)
	f.Add([]byte("HTTP/1.1 000 X\r\n\r\n"), 3)
	f.Add([]byte("HTTP/1.0 200 OK\r\nX Odd: 1\r\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, sent []byte, size int) {
		var whole, parts HeadCheck
		err := whole.Feed(sent)
		errParts := feed(&parts, string(sent), max(1, size%64))
		if !errors.Is(errParts, err) || whole.Complete() != parts.Complete() {
			t.Fatalf("got %v and complete %v for all bytes at once, %v and %v for parts", err, whole.Complete(), errParts, parts.Complete())
		}
		if !whole.Complete() {
			return
		}
		r := bufio.NewReader(bytes.NewReader(sent))
		for {
			resp, err := http.ReadResponse(r, nil) //nolint:bodyclose // there is no connection
			if err != nil {
				if s := err.Error(); !strings.Contains(s, "Content-Length") && !strings.Contains(s, "transfer encoding") {
					t.Fatalf("net/http can't read a head that passed: %v", err)
				}
				return
			}
			if resp.StatusCode < 100 || resp.StatusCode > 599 {
				t.Fatalf("got status %d, want one from 100 to 599", resp.StatusCode)
			}
			for name := range resp.Header {
				if strings.ContainsFunc(name, func(c rune) bool { return c > 0x7f || !isToken(byte(c)) }) {
					t.Fatalf("got a field named %q", name)
				}
			}
			if resp.StatusCode >= 200 {
				return
			}
		}
	})
}

func TestChunkedBodies(t *testing.T) {
	tests := []struct {
		name, sent string
		want       error // nil if the body is whole
	}{
		{"whole", "4\r\nfine\r\n0\r\n\r\n", nil},
		{"trailer", "4;ext\r\nfine\r\n0\r\nX-T: 1\r\n\r\n", nil},
		{"no last chunk", "4\r\nfine\r\n", io.ErrUnexpectedEOF},
		{"no end of the trailer section", "4\r\nfine\r\n0\r\n", io.ErrUnexpectedEOF},
		{"half of its end", "4\r\nfine\r\n0\r\n\r", io.ErrUnexpectedEOF},
		{"trailer that breaks off", "4\r\nfine\r\n0\r\nX-T: 1", io.ErrUnexpectedEOF},
		{"blank in a trailer's name", "4\r\nfine\r\n0\r\nX T: 1\r\n\r\n", ErrMalformed},
		{"other bytes than a trailer", "4\r\nfine\r\n0\r\n\x00\r\n\r\n", ErrMalformed},
		{"trailer without end", "4\r\nfine\r\n0\r\n" + strings.Repeat("X: 1\r\n", 2_000), ErrMalformed},
	}
	for _, tt := range tests {
		source := bufio.NewReader(strings.NewReader(tt.sent + "next"))
		if tt.want != nil && !errors.Is(tt.want, ErrMalformed) {
			source = bufio.NewReader(strings.NewReader(tt.sent))
		}
		got, err := io.ReadAll(NewChunkedBody(source))
		if !errors.Is(err, tt.want) || string(got) != "fine" {
			t.Errorf("%s: got %q and error %v, want %v", tt.name, got, err, tt.want)
		}
		if rest, _ := io.ReadAll(source); tt.want == nil && string(rest) != "next" {
			t.Errorf("%s: got %q left after the body, want what follows it", tt.name, rest)
		}
	}
}
