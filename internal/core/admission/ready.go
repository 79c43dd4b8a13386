package admission

import "github.com/medlarhold/medlarhold/internal/core/entity"

// GrantTo is a grant and the entry instance it goes to.
type GrantTo struct {
	To    entity.InstanceID
	Grant entity.Grant
}

// RefusalTo is a refusal and the entry instance it goes to.
type RefusalTo struct {
	To      entity.InstanceID
	Refusal entity.Refusal
}

// PreemptTo is a preemption and the entry instance it goes to.
type PreemptTo struct {
	To         entity.InstanceID
	Preemption entity.Preemption
}

// Ready is what the Owner has decided since the last call of Ready, in order.
type Ready struct {
	Grants      []GrantTo
	Refusals    []RefusalTo
	Preemptions []PreemptTo
}

// Empty says that there is nothing to send.
func (r *Ready) Empty() bool {
	return len(r.Grants)+len(r.Refusals)+len(r.Preemptions) == 0
}
