package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/oklog/ulid/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// ShardCount is the number of shards. It must be the same for all instances, and
// must not change while the log holds claims.
const ShardCount = 16

// ShardNumber identifies a shard, from 0 to ShardCount-1.
type ShardNumber int

// Stream returns the stream of the log that holds the shard's claims.
func (n ShardNumber) Stream() platform.Stream {
	return platform.Stream(fmt.Sprintf("claims-%d", int(n)))
}

// ShardOf returns the shard of an organisation's key.
func ShardOf(org entity.OrgID, key string) ShardNumber {
	return ShardNumber(xxhash.Sum64String(joinOrgKey(org, key)) % ShardCount)
}

// joinOrgKey returns an unambiguous string of both, prefixed with the length of the first.
func joinOrgKey(org entity.OrgID, key string) string {
	return fmt.Sprintf("%d:%s%s", len(org), org, key)
}

// hashBytes is the length of a Hash.
const hashBytes = 16

// Hash is a SHA-256 hash, truncated to its first 16 bytes.
type Hash [hashBytes]byte

// HashBody returns the hash of a request body.
func HashBody(body []byte) Hash { return truncatedSHA256(body) }

func hashKey(org entity.OrgID, key string) Hash { return truncatedSHA256([]byte(joinOrgKey(org, key))) }

func truncatedSHA256(b []byte) Hash {
	full := sha256.Sum256(b)
	return Hash(full[:hashBytes])
}

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil {
		return trace.Wrap(err)
	}
	if len(b) != hashBytes {
		return trace.BadParameter("claim: hash of %d bytes", len(b))
	}
	*h = Hash(b)
	return nil
}

// The range of plausible times of creation. Other keys of 26 digits and letters may
// happen to be valid ULIDs; a time outside of this range is taken as a sign of that.
var (
	earliestKeyTime = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	latestKeyTime   = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
)

// KeyTime returns the time of creation that is contained in a key, and whether it
// contains one. Only a key that is a ULID does.
func KeyTime(key string) (time.Time, bool) {
	id, err := ulid.ParseStrict(strings.ToUpper(key))
	if err != nil {
		return time.Time{}, false
	}
	created := ulid.Time(id.Time()).UTC()
	return created, created.After(earliestKeyTime) && created.Before(latestKeyTime)
}
