package node

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/claim"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// The test offers 200 claims a second, distributed over the shards, to an instance that
// is home to all shards of the only zone. Its appends must stay within
// fleetAppendsPerSec, or claims would overload the log service.
func TestClaimAppendsStayWithinTheBudget(t *testing.T) {
	self := entity.Instance{ID: "self", Zone: "z"}
	n := New(DefaultSettings(self), rand.New(rand.NewSource(1)))
	now, appended, offered := epoch, 0, 0
	log := make(map[claim.ShardNumber][]platform.Record)
	step := func() {
		r := n.Ready()
		for _, a := range r.ClaimAppends {
			appended++
			at := platform.Offset(len(log[a.Shard]))
			log[a.Shard] = append(log[a.Shard], platform.Record{Offset: at, Time: now, Data: a.Batch.Data})
			n.Step(now, ClaimAppended{Shard: a.Shard, Batch: a.Batch.ID, Status: claim.AppendDone, Offset: at})
		}
		for _, q := range r.ClaimReads {
			records := log[q.Shard]
			from := min(int(q.Read.From), len(records))
			n.Step(now, ClaimRead{Shard: q.Shard, Result: platform.ReadResult{Records: records[from:], Next: platform.Offset(len(records))}})
		}
	}
	const seconds = 10
	for range 5 * 20 { // until the instance has joined its zone
		now = now.Add(50 * time.Millisecond)
		n.Tick(now)
		step()
	}
	appended = 0
	for range seconds * 20 {
		now = now.Add(50 * time.Millisecond)
		for range 10 {
			offered++
			n.propose(now, request.Proposal{ID: entity.RequestID(fmt.Sprintf("r%d", offered)), Org: "o", Key: fmt.Sprintf("k%d", offered)})
		}
		n.Tick(now)
		step()
	}
	if limit := int(fleetAppendsPerSec)*seconds + claimBurst; appended == 0 || appended > limit {
		t.Errorf("got %d appends in %d s, want 1 to %d", appended, seconds, limit)
	}
}
