package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// BenchmarkReport measures the processing of a member's report and the accounts
// sent in response. A zone of the target deployment has 31 members, one of a
// deployment of 300 instances has 75.
func BenchmarkReport(b *testing.B) {
	for _, size := range []struct{ members, organisations int }{{4, 5}, {31, 16}, {75, 16}, {31, 400}} {
		b.Run(fmt.Sprintf("members=%d,organisations=%d", size.members, size.organisations), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			l := NewLedger(func(time.Time, entity.OrgID, Limit) float64 { return 1e6 })
			limits := make(map[entity.OrgID]Limit)
			for i := range size.organisations {
				limits[entity.OrgID(fmt.Sprint("o", i))] = Limit{Rate: 1e5, Burst: 1e6}
			}
			l.SetLimits(limits)
			used := make(map[entity.OrgID]Usage)
			for org := range limits {
				used[org] = Usage{}
			}
			i := 0
			for b.Loop() {
				name := fmt.Sprint("m", i%size.members)
				i++
				now = now.Add(200 * time.Millisecond / time.Duration(size.members))
				for org, u := range used {
					u.Total = float64(i)
					used[org] = u
				}
				l.HandleMemberReport(now, Reporter{Name: name, Process: entity.InstanceID(name), Instances: 1}, used)
				l.Accounts(now, name)
			}
		})
	}
}
