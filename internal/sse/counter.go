package sse

// Counter counts the complete events of a stream that arrives in parts. The zero value is
// at the start of a stream.
type Counter struct {
	// newline is set after a line break that may be the first half of a blank line.
	newline bool
	partial bool
}

// Add processes the next bytes of the stream and returns the number of events that they
// complete.
func (c *Counter) Add(p []byte) int {
	events := 0
	for _, b := range p {
		switch {
		case b == '\r': // part of a line break
		case b != '\n':
			c.newline, c.partial = false, true
		case c.newline:
			c.newline, c.partial = false, false
			events++
		default:
			c.newline = true
		}
	}
	return events
}

// HasPartial reports whether the bytes added so far end within an event.
func (c *Counter) HasPartial() bool { return c.partial }
