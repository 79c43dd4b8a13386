package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// A question and the end of its run, with the engines that one zone has at the
// target and of a deployment of 3,000, idle and with requests waiting.
func BenchmarkAskAndDone(b *testing.B) {
	for _, engines := range []int{15, 353, 750} {
		for _, waiting := range []int{0, 200} {
			b.Run(fmt.Sprintf("engines=%d,waiting=%d", engines, waiting), func(b *testing.B) {
				h := newBench(nil, engines, 8)
				full := 0
				if waiting > 0 {
					full = 8 * engines
				}
				var running []string
				for i := range full + waiting {
					running = append(running, grants(h.ask(fmt.Sprint("first", i), func(a *SlotRequest) { a.TargetIn = time.Hour }))...)
				}
				i := 0
				for b.Loop() {
					h.now = h.now.Add(time.Millisecond)
					running = append(running, grants(h.ask(fmt.Sprint("r", i), func(a *SlotRequest) { a.TargetIn, a.EndIn = time.Hour, time.Hour }))...)
					h.b.HandleDone(h.now, Done{ID: entity.RequestID(running[0]), Seq: 1, Streaming: time.Second})
					running = append(running[1:], grants(h.b.Ready())...)
					i++
				}
			})
		}
	}
}
