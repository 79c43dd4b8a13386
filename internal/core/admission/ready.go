package admission

import "github.com/medlarhold/medlarhold/internal/core/entity"

// GrantTo is a grant and the entry instance to send it to.
type GrantTo struct {
	To    entity.InstanceID
	Grant entity.Grant
}

// RefusalTo is a refusal and the entry instance to send it to.
type RefusalTo struct {
	To      entity.InstanceID
	Refusal entity.Refusal
}

// PreemptionTo is a preemption and the entry instance to send it to.
type PreemptionTo struct {
	To         entity.InstanceID
	Preemption entity.Preemption
}

// Ready holds the messages to send that were decided since the last call of
// Owner.Ready, each list in order.
type Ready struct {
	Grants      []GrantTo
	Refusals    []RefusalTo
	Preemptions []PreemptionTo
}

// Empty reports whether there is nothing to send.
func (r *Ready) Empty() bool {
	return len(r.Grants)+len(r.Refusals)+len(r.Preemptions) == 0
}
