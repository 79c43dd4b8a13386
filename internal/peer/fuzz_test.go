package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// FuzzFrame reads frames from arbitrary bytes. Each must be within the limit or
// refused with an error, and a frame that was read can be written and read again.
func FuzzFrame(f *testing.F) {
	f.Add([]byte("\x02{}"))
	f.Add([]byte("\x05[1,2"))
	f.Add(binary.AppendUvarint(nil, maxFrameBytes+1))
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		codec := frameCodec{limit: constantLimit(maxUnauthenticatedFrameBytes)}
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			var v, again json.RawMessage
			if codec.ReadObject(r, &v) != nil {
				return
			}
			var out bytes.Buffer
			if err := codec.WriteObject(&out, v); err != nil {
				t.Fatal(err)
			}
			if err := codec.ReadObject(bufio.NewReader(&out), &again); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// FuzzMessage decodes arbitrary parameters, which must not cause a panic. A decoded
// reservation must keep its id and the number of its prefix blocks when it is
// converted to the wire form and back.
func FuzzMessage(f *testing.F) {
	f.Add("ask", []byte(`{"i":"r","f":"a","o":"bank","p":"reports","h":"AQIDBAUGBwg","d":1000}`))
	f.Add("ask", []byte(`{"h":"AQID"}`))
	f.Add("ok", []byte(`{"i":"r","e":"engine-1"}`))
	f.Add("unknown", []byte(`{}`))
	registry := NewRegistry()
	Register[Reservation](registry, "ask", CauseRequest)
	Register[entity.Grant](registry, "ok", CauseRequest)
	now := time.Unix(0, 0)
	f.Fuzz(func(t *testing.T, method string, params []byte) {
		msg, err := registry.decode(method, params)
		if err != nil {
			return
		}
		w, ok := msg.(Reservation)
		if !ok {
			return
		}
		r, err := FromWire(now, w)
		if err != nil {
			return
		}
		again, err := FromWire(now, ToWire(now, r))
		if err != nil || len(again.Work.Prefix) != len(r.Work.Prefix) || again.Work.ID != r.Work.ID {
			t.Fatalf("got %+v, %v, want %+v", again, err, r)
		}
	})
}
