package cli

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// keyBytes is the number of random bytes in a key.
const keyBytes = 32

// newKey is a key and its hash.
type newKey struct {
	Key  string `json:"key"`
	Hash string `json:"sha256"`
}

// keyCommand groups the commands about keys.
func (a *App) keyCommand() *cobra.Command {
	cmd := group("key", "Make keys for organisations and operators")
	cmd.AddCommand(&cobra.Command{
		Use:   "new",
		Short: "Make a new random key and its hash",
		Long: "The key goes to the organisation or operator and is kept nowhere; the hash goes\n" +
			"into key_hashes of the contract, or into the instances' settings for an operator.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return a.keyNew()
		},
	})
	return cmd
}

func (a *App) keyNew() error {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return fail(ExitFailure, trace.Wrap(err), "")
	}
	k := newKey{Key: hex.EncodeToString(raw)}
	sum := sha256.Sum256([]byte(k.Key))
	k.Hash = hex.EncodeToString(sum[:])
	t := table{header: []string{"KEY", "SHA256"}}
	t.row(k.Key, k.Hash)
	return a.show(k, t)
}
