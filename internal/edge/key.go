package edge

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quarantine"
)

// requestKeyBytes is the length of the digest in a request's key: nobody can find a second request
// with the same key.
const requestKeyBytes = 16

// maxIDBytes is the length up to which the id of a request is passed on to other instances as it is.
const maxIDBytes = 128

// shortID returns a short id that stands for a caller's in all instances: the id itself, or a digest of a long one.
func shortID(id entity.RequestID) entity.RequestID {
	if len(id) <= maxIDBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return entity.RequestID("digest-" + hex.EncodeToString(sum[:]))
}

// requestKey returns the key that is the same for all requests of an organisation with the same
// method, host, path, query and body. Without an organisation, callers can't be told apart.
func requestKey(r *http.Request, org entity.OrgID, body []byte) entity.PartID {
	h := sha256.New()
	for _, field := range []string{string(org), r.Method, r.Host, r.RequestURI} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	h.Write(body)
	return quarantine.RequestKey(h.Sum(nil)[:requestKeyBytes])
}
