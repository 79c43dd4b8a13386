package caller

// controlQueue runs the pauses, resumptions and the cancellation of one request at
// its engine one after the other. A pause that overtook the resumption before it
// would leave the stream running without a slot. The zero value is ready for use;
// it is not safe for concurrent use.
type controlQueue struct {
	// last is closed once the most recently added control has returned. It is nil before the first one.
	last chan struct{}
}

// add runs control on a new goroutine after those added before, and returns at once.
func (c *controlQueue) add(control func()) {
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
