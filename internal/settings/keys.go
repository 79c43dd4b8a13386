package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"os"
	"strings"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// minPeerKeyBytes is the minimum length of a peer key.
const minPeerKeyBytes = 16

// KeyRing holds the peer keys and the operators' key hashes that are in force.
// It is safe for concurrent use, also during Reload.
type KeyRing struct {
	files     Keys
	peers     atomic.Pointer[[][]byte]
	operators atomic.Pointer[[][sha256.Size]byte]
}

// NewKeyRing reads the key files.
func NewKeyRing(files Keys) (*KeyRing, error) {
	r := &KeyRing{files: files}
	return r, trace.Wrap(r.Reload())
}

// Reload reads the key files again. On an error the previous keys stay in force.
func (r *KeyRing) Reload() error {
	peers, err := readPeerKeys(r.files.PeerKeyFile)
	if err != nil {
		return trace.Wrap(err)
	}
	operators, err := readHashes(r.files.OperatorHashFile)
	if err != nil {
		return trace.Wrap(err)
	}
	r.peers.Store(&peers)
	r.operators.Store(&operators)
	return nil
}

// PeerKeys returns the peer keys. The first one is used for sending, all are accepted.
func (r *KeyRing) PeerKeys() [][]byte { return *r.peers.Load() }

// IsOperatorKey reports whether the key is an operator's. It compares the key
// with all hashes, each in constant time.
func (r *KeyRing) IsOperatorKey(key string) bool {
	sum := sha256.Sum256([]byte(key))
	found := 0
	for _, h := range *r.operators.Load() {
		found |= subtle.ConstantTimeCompare(sum[:], h[:])
	}
	return found == 1
}

func readPeerKeys(file string) ([][]byte, error) {
	lines, err := readLines(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	keys := make([][]byte, 0, len(lines))
	for _, l := range lines {
		if len(l) < minPeerKeyBytes {
			return nil, trace.BadParameter("%s: a peer key must have at least %d bytes", file, minPeerKeyBytes)
		}
		keys = append(keys, []byte(l))
	}
	return keys, nil
}

func readHashes(file string) ([][sha256.Size]byte, error) {
	lines, err := readLines(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	hashes := make([][sha256.Size]byte, 0, len(lines))
	for _, l := range lines {
		b, err := hex.DecodeString(l)
		if err != nil || len(b) != sha256.Size {
			return nil, trace.BadParameter("%s: not a SHA-256 hash in hex: %q", file, l)
		}
		hashes = append(hashes, [sha256.Size]byte(b))
	}
	return hashes, nil
}

// readLines returns the lines of a file that are neither empty nor comments,
// without surrounding white space. A file without such a line is an error.
func readLines(file string) ([]string, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var lines []string
	for _, l := range strings.Split(string(b), "\n") {
		if l = strings.TrimSpace(l); l != "" && !strings.HasPrefix(l, "#") {
			lines = append(lines, l)
		}
	}
	if len(lines) == 0 {
		return nil, trace.BadParameter("%s contains no key", file)
	}
	return lines, nil
}
