package broker

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/fairshare"
)

// rankState is what a pool keeps about the requests of one rank.
type rankState struct {
	// shares holds the service that organisations have received.
	shares *fairshare.Shares
	// shortAt is when a request of the rank last could not be on time, in the order of the queue.
	shortAt time.Time
	// standing tells a standing overload from a burst, see shortqueue.go.
	standing standingQueue
	// demand is what requests of the rank ask for.
	demand demand
}

// rank returns the state of a rank.
func (p *pool) rank(rank int) *rankState {
	s := p.ranks[rank]
	if s == nil {
		s = &rankState{shares: fairshare.New()}
		p.ranks[rank] = s
	}
	return s
}
