package crowd

import (
	"fmt"
	"io"
	"strings"
)

// Sizes in bytes of what clients send.
const (
	// legalHead is the length of header lines of a head inside a limit of 32 KiB.
	legalHead = 30_000
	// largeHead is that of a head that only a limit far above it allows.
	largeHead = 250_000
	// oneByteChunks is the number of chunks of one byte in a body.
	oneByteChunks = 100_000
	// largeChunk is the length of a body in one chunk, or with a length.
	largeChunk = 1 << 20
	// bulk is the length of one write of text without end.
	bulk = 64 << 10
	// readAhead is the length of a part of a head that fits into a server's read buffer.
	readAhead = 4000
)

// Behaviour is one way to misuse a connection.
type Behaviour struct {
	Name string
	play func(c *client)
}

// Behaviours returns all of them.
func Behaviours() []Behaviour {
	return append(append(Heads(), Bodies()...), Connections()...)
}

// Named returns the behaviour of a name. It panics if there is none.
func Named(name string) Behaviour {
	for _, b := range Behaviours() {
		if b.Name == name {
			return b
		}
	}
	panic("crowd: no behaviour is named " + name)
}

// WholeRequests returns the behaviour that sends whole requests with further header lines over and over, and reads the
// answers.
func WholeRequests(name, further string) Behaviour {
	return Behaviour{name, func(c *client) { c.requests(further) }}
}

// Heads returns the behaviours that concern the heads of requests.
func Heads() []Behaviour {
	return []Behaviour{
		WholeRequests("whole requests of many names", manyNames(legalHead)),
		WholeRequests("whole requests of one name", oneName(legalHead)),
		{"a large head of many names stays", func(c *client) { c.send(c.request.head(manyNames(largeHead))); c.stay() }},
		{"a large head of one name stays", func(c *client) { c.send(c.request.head(oneName(largeHead))); c.stay() }},
		{"a large head without its body stays", func(c *client) {
			c.begin(fmt.Sprintf("Content-Length: %d\r\n%s", largeChunk, manyNames(largeHead)))
			c.stay()
		}},
		{"a legal head without its last byte of a body stays", func(c *client) {
			c.begin("Content-Length: 10\r\n" + manyNames(legalHead))
			c.send("123456789")
			c.stay()
		}},
		{"a long request line stays", func(c *client) { c.send(strings.Repeat("G", largeHead)); c.stay() }},
		{"a long target stays", func(c *client) { c.send("GET /" + strings.Repeat("x", largeHead)); c.stay() }},
		{"a head without end", func(c *client) { c.send(c.request.head("")); c.repeat(manyNames(bulk)) }},
		{"a line without end", func(c *client) { c.send(c.request.head("a: ")); c.repeat(strings.Repeat("x", bulk)) }},
		{"a request line without end", func(c *client) { c.repeat(strings.Repeat("x", bulk)) }},
		{"folded lines without end", func(c *client) { c.send(c.request.head("a: x\r\n")); c.repeat(strings.Repeat(" \r\n", bulk/3)) }},
		{"empty lines without end in bulk", func(c *client) { c.repeat(strings.Repeat("\r\n", bulk/2)) }},
		{"empty lines without end one by one", func(c *client) { c.repeat("\r\n") }},
	}
}

// Bodies returns the behaviours that concern the bodies of requests.
func Bodies() []Behaviour {
	return []Behaviour{
		{"chunks of one byte, the last byte is missing", func(c *client) {
			c.begin("Transfer-Encoding: chunked\r\n")
			c.send(strings.Repeat("1\r\nx\r\n", oneByteChunks-1) + "1\r\n")
			c.stay()
		}},
		{"one large chunk, the last byte is missing", func(c *client) {
			c.begin("Transfer-Encoding: chunked\r\n")
			c.send(fmt.Sprintf("%x\r\n", largeChunk) + strings.Repeat("x", largeChunk-1))
			c.stay()
		}},
		{"a chunked body without its end", func(c *client) {
			c.begin("Transfer-Encoding: chunked\r\n")
			c.send(fmt.Sprintf("%x\r\n%s\r\n", largeChunk/2, strings.Repeat("x", largeChunk/2)))
			c.stay()
		}},
		{"chunk extensions without end", func(c *client) {
			c.begin("Transfer-Encoding: chunked\r\n")
			c.repeat("1;" + strings.Repeat("e", bulk))
		}},
		{"trailers without end", func(c *client) {
			c.begin("Transfer-Encoding: chunked\r\n")
			c.send("1\r\nx\r\n0\r\n")
			c.repeat(manyNames(bulk))
		}},
		{"a length, the last byte is missing", func(c *client) {
			c.begin(fmt.Sprintf("Content-Length: %d\r\n", largeChunk))
			c.send(strings.Repeat("x", largeChunk-1))
			c.stay()
		}},
		{"a length and no body", func(c *client) { c.begin(fmt.Sprintf("Content-Length: %d\r\n", largeChunk)); c.stay() }},
		{"a part of a head read ahead behind a body", func(c *client) {
			c.begin("Transfer-Encoding: chunked\r\n")
			c.send("1\r\nx\r\n0\r\n\r\n" + c.request.head(oneName(readAhead)))
			c.stay()
		}},
	}
}

// Connections returns the behaviours that concern connections and what is read from them.
func Connections() []Behaviour {
	return []Behaviour{
		{"silent connections", func(c *client) { c.stay() }},
		{"one byte", func(c *client) { c.send("P"); c.stay() }},
		{"requests one after the other, answers unread", func(c *client) {
			c.repeat(c.request.head("Content-Length: 1\r\n") + "\r\nx")
		}},
		{"upgrades and other protocols", func(c *client) {
			for _, text := range []string{
				"CONNECT 127.0.0.1:1 HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "GET /\r\n",
				c.request.head("Connection: Upgrade\r\nUpgrade: websocket\r\n") + "\r\n",
			} {
				c.send(text)
			}
			c.stay()
		}},
	}
}

// requests sends whole requests with the given header lines and reads the answers, until the connection has ended.
func (c *client) requests(further string) {
	go func() { _, _ = io.Copy(io.Discard, c.conn) }() // ends with the connection
	c.repeat(c.request.head("Content-Length: 1\r\n"+further) + "\r\nx")
}
