package crowd

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// Request is a request that the server would serve, as the client begins it.
type Request struct {
	// Line is the request line, without its end.
	Line string
	// Fields are the header lines that it needs, without their ends.
	Fields []string
}

// head returns the request line and the header lines, and the further text before the end of the head.
func (r Request) head(further string) string {
	return r.Line + "\r\n" + strings.Join(r.Fields, "\r\n") + "\r\n" + further
}

// client is one connection of a client. Its methods do nothing once the connection has ended.
type client struct {
	ctx     context.Context
	conn    net.Conn
	request Request
	ended   bool
}

// send writes text in one piece.
func (c *client) send(text string) {
	if c.ended {
		return
	}
	_, err := io.WriteString(c.conn, text)
	c.ended = err != nil
}

// begin sends a head with further lines, and its end.
func (c *client) begin(further string) { c.send(c.request.head(further) + "\r\n") }

// stay keeps the connection open and sends nothing until the server ends it.
func (c *client) stay() {
	for !c.ended && c.ctx.Err() == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(time.Second)) // fails only for a closed connection
		var b [1]byte
		_, err := c.conn.Read(b[:])
		c.ended = err != nil && !isTimeout(err)
	}
}

// repeat sends text again and again until the connection has ended.
func (c *client) repeat(text string) {
	for !c.ended && c.ctx.Err() == nil {
		c.send(text)
	}
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// manyNames returns header lines of a total length, each with another name and no blank after the colon.
func manyNames(length int) string {
	var b strings.Builder
	for i := 0; b.Len() < length; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + "z:\r\n")
	}
	return b.String()
}

// oneName returns header lines of a total length, each with the same name.
func oneName(length int) string { return strings.Repeat("a:\n", length/len("a:\n")) }
