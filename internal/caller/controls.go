package caller

// controls runs the pauses, resumptions and the cancellation of one request at
// its engine, one after the other: a pause that overtook the resumption before
// it would leave the stream running without a slot. The zero value is ready.
type controls struct {
	// last is closed when the latest one is over; nil before the first.
	last chan struct{}
}

// add runs control after those before it, and returns at once.
func (c *controls) add(control func()) {
	before, done := c.last, make(chan struct{})
	c.last = done
	go func() {
		defer close(done)
		if before != nil {
			<-before
		}
		control()
	}()
}
