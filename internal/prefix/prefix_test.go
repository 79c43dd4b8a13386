package prefix

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

func TestHashIsStable(t *testing.T) {
	got := Hash(strings.Repeat("abcd", 32)+"tail", 16)
	want := []entity.BlockHash{0xf92983c4e5dafd0d, 0x38c867a5f84204bd}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("Hash (-want +got):\n%s", diff)
	}
}

func TestHashOfShortPromptsIsEmpty(t *testing.T) {
	for _, prompt := range []string{"", "a", strings.Repeat("x", 63)} {
		if got := Hash(prompt, 0); len(got) != 0 {
			t.Errorf("Hash(%d bytes) = %v, want no blocks", len(prompt), got)
		}
	}
}

// TestHashSharesExactlyTheCommonBlocks checks on random prompts that two block
// hashes are equal exactly if the prompts are equal up to the end of the block.
func TestHashSharesExactlyTheCommonBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		block := rapid.IntRange(1, 4).Draw(t, "block")
		text := rapid.StringMatching(`[ab]{0,40}`)
		a, b := text.Draw(t, "a"), text.Draw(t, "b")
		ha, hb := Hash(a, block), Hash(b, block)
		size := block * BytesPerToken
		for i := 0; i < len(ha) && i < len(hb); i++ {
			end := (i + 1) * size
			if same := a[:end] == b[:end]; same != (ha[i] == hb[i]) {
				t.Fatalf("block %d: prefixes equal %v, hashes %x %x", i, same, ha[i], hb[i])
			}
		}
	})
}

// TestSampleComparesLongerBlocks checks on random prompts that two sampled hashes
// are equal exactly if the prompts are equal up to the end of the longer block.
func TestSampleComparesLongerBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stride := rapid.IntRange(1, 3).Draw(t, "stride")
		text := rapid.StringMatching(`[ab]{0,40}`)
		a, b := text.Draw(t, "a"), text.Draw(t, "b")
		ha, hb := Sample(Hash(a, 1), stride), Sample(Hash(b, 1), stride)
		size := stride * BytesPerToken
		if len(ha) != len(a)/size {
			t.Fatalf("prompt of %d bytes: got %d blocks, want %d", len(a), len(ha), len(a)/size)
		}
		for i := 0; i < len(ha) && i < len(hb); i++ {
			end := (i + 1) * size
			if same := a[:end] == b[:end]; same != (ha[i] == hb[i]) {
				t.Fatalf("block %d: prefixes equal %v, hashes %x %x", i, same, ha[i], hb[i])
			}
		}
	})
}

func TestHead(t *testing.T) {
	if got := Head("abcdefghij", 2); got != "abcdefgh" {
		t.Errorf("got %q, want %q", got, "abcdefgh")
	}
	if got := Head("abc", 2); got != "abc" {
		t.Errorf("got %q, want %q", got, "abc")
	}
}

func TestTokensRoundsUp(t *testing.T) {
	for bytes, want := range map[int]int{0: 0, 1: 1, 4: 1, 5: 2} {
		if got := Tokens(strings.Repeat("x", bytes)); got != want {
			t.Errorf("Tokens(%d bytes) = %d, want %d", bytes, got, want)
		}
	}
}
