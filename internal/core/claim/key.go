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

// ShardCount is how many shards there are. It is the same for everyone and
// for as long as the log keeps claims.
const ShardCount = 16

// ShardNumber names a shard, from 0 to ShardCount-1.
type ShardNumber int

// Stream returns the stream of the log that holds the shard's claims.
func (n ShardNumber) Stream() platform.Stream {
	return platform.Stream(fmt.Sprintf("claims-%d", int(n)))
}

// ShardOf returns the shard of an organisation's key.
func ShardOf(org entity.OrgID, key string) ShardNumber {
	return ShardNumber(xxhash.Sum64String(joinOrgKey(org, key)) % ShardCount)
}

// joinOrgKey is an unambiguous string of both: the length of the first goes ahead.
func joinOrgKey(org entity.OrgID, key string) string {
	return fmt.Sprintf("%d:%s%s", len(org), org, key)
}

// hashBytes is the length of a Hash.
const hashBytes = 16

// Hash is a truncated SHA-256.
type Hash [hashBytes]byte

// HashBody returns the hash of a request's body.
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

// Times outside of this range are not taken for times: other keys of 26 digits
// and letters may read as a ULID too.
var (
	earliestKeyTime = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	latestKeyTime   = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
)

// KeyTime returns the time of creation that a key carries: a key that is a
// ULID carries one.
func KeyTime(key string) (time.Time, bool) {
	id, err := ulid.ParseStrict(strings.ToUpper(key))
	if err != nil {
		return time.Time{}, false
	}
	made := ulid.Time(id.Time()).UTC()
	return made, made.After(earliestKeyTime) && made.Before(latestKeyTime)
}
