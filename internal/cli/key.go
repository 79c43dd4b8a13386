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
	cmd := group("key", "Create keys for organisations and operators")
	cmd.AddCommand(&cobra.Command{
		Use:   "new",
		Short: "Create a new random key and its hash",
		Long: "The key is for the organisation or operator and is not stored anywhere. The hash\n" +
			"belongs in key_hashes of the contract or, for an operator, in the instances' settings.",
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
