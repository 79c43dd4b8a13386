package routing

import (
	"fmt"
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// poolSizes are the numbers of endpoints of a pool in one zone, in one region, and in the
// largest deployment that the benchmarks model.
var poolSizes = []int{353, 1400, 5300}

func BenchmarkNext(b *testing.B) {
	for _, n := range poolSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			r := benchFleet(n)
			w := work("a", 7, 0)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := r.Next(epoch, w, nil); !ok {
					b.Fatal("no choice")
				}
			}
		})
	}
}

func BenchmarkMayShed(b *testing.B) {
	for _, n := range poolSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			r := benchFleet(n)
			w := work("a", 7, 0)
			for o := range n / enginesPerOwner {
				id := entity.InstanceID(fmt.Sprintf("i%d", o))
				r.Refused(epoch, id, w, entity.Refusal{ID: "a", FloorFor: 1 << 40, EndpointsDigest: uint64(r.servingDigest(id, w))}, epoch)
			}
			for b.Loop() {
				r.MayShed(epoch, w, nil)
			}
		})
	}
}

const enginesPerOwner = 11

// benchFleet returns a router with n endpoints, enginesPerOwner to each owner.
func benchFleet(n int) *Router {
	r := New(DefaultSettings())
	var rows []OwnedEndpoint
	for i := range n {
		rows = append(rows, OwnedEndpoint{Owner: entity.InstanceID(fmt.Sprintf("i%d", i/enginesPerOwner)), Endpoint: entity.Endpoint{
			ID: entity.EndpointID(fmt.Sprintf("engine-%05d", i)), Pool: "p", Models: []entity.ModelID{"m"}, Slots: 8,
		}})
	}
	r.SetPool("p", rows)
	return r
}
