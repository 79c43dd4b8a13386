package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// BenchmarkSlotRequestAndDone measures a slot request followed by the end of a run,
// idle and with requests waiting. The numbers of engines include those of one zone
// at the target size and in a deployment of 3,000 engines.
func BenchmarkSlotRequestAndDone(b *testing.B) {
	for _, engines := range []int{15, 353, 750} {
		for _, waiting := range []int{0, 200} {
			b.Run(fmt.Sprintf("engines=%d,waiting=%d", engines, waiting), func(b *testing.B) {
				h := newHarness(nil, engines, 8)
				full := 0
				if waiting > 0 {
					full = 8 * engines
				}
				var running []string
				for i := range full + waiting {
					running = append(running, grants(h.requestSlot(fmt.Sprint("first", i), func(a *SlotRequest) { a.TargetIn = time.Hour }))...)
				}
				i := 0
				for b.Loop() {
					h.now = h.now.Add(time.Millisecond)
					running = append(running, grants(h.requestSlot(fmt.Sprint("r", i), func(a *SlotRequest) {
						a.TargetIn, a.EndIn = time.Hour, time.Hour
					}))...)
					h.b.HandleDone(h.now, Done{ID: entity.RequestID(running[0]), Seq: 1, Streaming: time.Second})
					running = append(running[1:], grants(h.b.Ready())...)
					i++
				}
			})
		}
	}
}
