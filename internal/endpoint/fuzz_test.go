package endpoint

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// FuzzStream reads arbitrary bytes as an event stream. Tokens must be passed on in
// order from 0 without a gap, and the answer may only count as ended after an end
// event with the right number of tokens.
func FuzzStream(f *testing.F) {
	token := "event: token\ndata: {\"index\":0,\"text\":\"a\"}\n\n"
	f.Add(token + "event: end\ndata: {\"finish_reason\":\"stop\",\"completion_tokens\":1}\n\n")
	f.Add(token + token)
	f.Add(token + "event: end\ndata: {\"finish_reason\":\"stop\",\"completion_tokens\":2}\n\n")
	f.Add("event: end\ndata: {}\n\n")
	f.Add("event: end\ndata: null\n\n")
	f.Add(": keepalive\n\nevent: other\ndata: 1\n\n")
	c := New(Options{MaxEventBytes: 256})
	f.Fuzz(func(t *testing.T, body string) {
		var tokens []Token
		s := newStream(c, "", "r", 0, func(tok Token) error {
			tokens = append(tokens, tok)
			return nil
		})
		s.limit = 3
		err := s.read(&streamResponse{id: "r", body: io.NopCloser(strings.NewReader(body))})
		for i, tok := range tokens {
			if tok.Index != i {
				t.Fatalf("token %d has index %d", i, tok.Index)
			}
		}
		if len(tokens) > s.limit || s.next != len(tokens) || s.result.Tokens != len(tokens) {
			t.Fatalf("got %d tokens, next %d, result %+v, want equal counts of at most %d", len(tokens), s.next, s.result, s.limit)
		}
		switch {
		case err == nil:
			if !strings.Contains(body, EventEnd) || s.result.CompletionTokens != len(tokens) {
				t.Fatalf("%d tokens with end event %+v taken as ended", len(tokens), s.result.End)
			}
		case !errors.Is(err, errConnectionLost) && !errors.Is(err, errMalformed):
			t.Fatalf("unexpected kind of error: %v", err)
		}
	})
}

// FuzzControlAnswers decodes arbitrary bytes as each kind of control response. A
// decoded value must be the same after it is encoded and decoded again.
func FuzzControlAnswers(f *testing.F) {
	f.Add([]byte(`{"events":[{"seq":7,"stored":["00000000000000ff"],"evicted":[],"cleared":true}],"next":8}`))
	f.Add([]byte(`{"models":{"m":"1"},"adapters":["a"],"role":"prefill","fence":3}`))
	f.Add([]byte(`{"running":3,"waiting":0,"kv_tokens":8120,"as_of":"2026-01-02T03:04:05.6Z"}`))
	f.Add([]byte(`{"blocks":["0000000000000001"],"bytes":4096,"imported":1,"state":"paused","tokens":2}`))
	f.Add([]byte(`{"blocks":["+00000000000000f"]}`))
	f.Add([]byte(`{"blocks":["00"]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		roundTrip[CacheEvents](t, data)
		roundTrip[OrderStatus](t, data)
		roundTrip[Load](t, data)
		roundTrip[Export](t, data)
		roundTrip[Import](t, data)
		roundTrip[StreamStatus](t, data)
	})
}

func roundTrip[T any](t *testing.T, data []byte) {
	t.Helper()
	var first, second T
	if json.Unmarshal(data, &first) != nil {
		return
	}
	encoded, err := json.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(encoded, &second); err != nil {
		t.Fatalf("%s: %v", encoded, err)
	}
	if diff := cmp.Diff(first, second, cmpopts.EquateEmpty()); diff != "" {
		t.Fatalf("value changed when encoded as %s and decoded again (-first +second):\n%s", encoded, diff)
	}
}

func TestBlockHashText(t *testing.T) {
	hashes := []entity.BlockHash{0, 1, 0xfedcba9876543210}
	data, err := json.Marshal(ToWire(hashes))
	if err != nil || string(data) != `["0000000000000000","0000000000000001","fedcba9876543210"]` {
		t.Fatalf("encode: got %s, %v, want 16 hexadecimal digits for each hash", data, err)
	}
	var back []BlockHash
	if err := json.Unmarshal(data, &back); err != nil || !cmp.Equal(FromWire(back), hashes) {
		t.Fatalf("decode: got %v, %v, want %v", back, err, hashes)
	}
	for _, bad := range []string{`"1"`, `"000000000000000g"`, `"+000000000000001"`, `1`, `"00000000000000001"`} {
		var h BlockHash
		if err := json.Unmarshal([]byte(bad), &h); err == nil {
			t.Errorf("%s was decoded as %x, want an error", bad, uint64(h))
		}
	}
}
