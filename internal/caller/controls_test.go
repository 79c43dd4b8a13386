package caller

import (
	"slices"
	"testing"
)

func TestControlsRunInOrder(t *testing.T) {
	var c controlQueue
	var got []int
	release := make(chan struct{})
	c.add(func() { <-release; got = append(got, 0) })
	for i := 1; i < 5; i++ {
		c.add(func() { got = append(got, i) })
	}
	close(release)
	<-c.last
	if !slices.Equal(got, []int{0, 1, 2, 3, 4}) {
		t.Errorf("got order %v, want 0 to 4", got)
	}
}
