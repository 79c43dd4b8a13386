package membership

import (
	"encoding/json"
	"math/rand"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// FuzzStep passes arbitrary messages of a peer to Step. Whatever they contain,
// the instance must not panic, must keep its own row and must observe MaxRows.
func FuzzStep(f *testing.F) {
	f.Add([]byte(`{"k":1,"s":7,"d":12,"u":[{"n":"b","z":"z1","i":3,"s":1}]}`))
	f.Add([]byte(`{"k":2,"s":7,"t":"b"}`))
	f.Add([]byte(`{"k":3,"s":1,"t":"c","e":true}`))
	f.Add([]byte(`{"k":4,"o":0,"z":[{"z":"z1","d":1,"a":-5},{"z":"","d":2,"a":9223372036854775807}]}`))
	f.Add([]byte(`{"k":4,"o":1,"u":[{"n":"a","z":"z1","s":2,"i":18446744073709551615}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if json.Unmarshal(data, &m) != nil {
			return
		}
		s := DefaultSettings()
		s.MaxRows = 8
		c := New(s, entity.Instance{ID: "a", Zone: "z1"}, rand.New(rand.NewSource(1)))
		now := time.Unix(1000, 0)
		for _, from := range []entity.InstanceID{"b", "c", ""} {
			c.Step(now, from, m)
			now = now.Add(time.Second)
			c.Tick(now)
			c.Ready()
		}
		self := c.View().Self
		if self.ID != "a" || self.Zone != "z1" || self.Leaving || len(c.table.byID) > s.MaxRows {
			t.Fatalf("got own row %+v and %d rows, want the own row unchanged and at most MaxRows", self, len(c.table.byID))
		}
	})
}
