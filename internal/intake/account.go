package intake

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/backlog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Cause is why a client was let go.
type Cause string

// The causes.
const (
	// CauseStopped: the caller has read nothing for the write timeout.
	CauseStopped Cause = "stopped"
	// CauseFull: the caller has read nothing for a while, and no more may be held for it.
	CauseFull Cause = "full"
	// CauseMemory: the memory for all clients is used up.
	CauseMemory Cause = "memory"
	// CauseConnections: all connections of a listener are in use.
	CauseConnections Cause = "connections"
)

// Account is the account of the bytes that are held for all clients of a process. It is safe for concurrent use.
type Account struct {
	mu       sync.Mutex
	table    *backlog.Table
	holdings map[*backlog.Exchange]*Holding
	letGo    int64 // clients let go so far
	// relieving is set while relieve is going to run.
	relieving bool
}

// NewAccount returns an account of up to limit bytes.
func NewAccount(limit int64) *Account {
	return &Account{table: backlog.New(limit), holdings: make(map[*backlog.Exchange]*Holding)}
}

// NewAccount returns the account that a budget allows.
func (b Budget) NewAccount() *Account {
	a := NewAccount(b.AccountBytes)
	a.table.Reserve(b.ReserveBytes)
	return a
}

// Standing is the state of an account at one moment.
type Standing struct {
	// HeldBytes is what is held, LeavingBytes the part of it that is held for clients that are being let go, and
	// LimitBytes how much there may be.
	HeldBytes, LeavingBytes, LimitBytes int64
	// SlowCallers is the number of callers that keep a write waiting.
	SlowCallers int
	// LetGo is the number of clients that were let go since the start.
	LetGo int64
}

// Standing returns what is held now.
func (a *Account) Standing() Standing {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Standing{HeldBytes: a.table.Held(), LeavingBytes: a.table.Leaving(), LimitBytes: a.table.Limit(), SlowCallers: a.table.Slow(), LetGo: a.letGo}
}

// Holding is what is held for one client. Its methods are safe for concurrent use.
type Holding struct {
	account  *Account
	exchange *backlog.Exchange
	// release ends what the client makes the process hold. It is called without a lock.
	release func()
	// closed is set once nothing is held any more; the account's lock protects it.
	closed bool
	// cause is why the client was let go, nil if it was not.
	cause atomic.Pointer[Cause]
	// onLetGo, if set, is called after the client was let go.
	onLetGo atomic.Pointer[func()]
}

// Open returns the holding of a client for which nothing is held. release is called if the client is let go.
func (a *Account) Open(release func()) *Holding {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := &Holding{account: a, exchange: a.table.Open(""), release: release}
	a.holdings[h.exchange] = h
	return h
}

// SetOrg sets the organisation of the client.
func (h *Holding) SetOrg(org entity.OrgID) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.table.SetOrg(h.exchange, org)
}

// OnLetGo sets what is called after the client was let go, nil for nothing.
func (h *Holding) OnLetGo(f func()) {
	if f == nil {
		h.onLetGo.Store(nil)
		return
	}
	h.onLetGo.Store(&f)
}

// Grow counts n more bytes, for which other clients may be let go. It returns false if there is no room for them.
func (h *Holding) Grow(n int64) bool {
	a := h.account
	a.mu.Lock()
	if h.closed {
		a.mu.Unlock()
		return false
	}
	exchanges, ok := a.table.Grow(time.Now(), h.exchange, n)
	leaving := a.holdingsOf(exchanges)
	a.relieveLater()
	a.mu.Unlock()
	if len(leaving) > 0 {
		go letGoAll(leaving) // the caller may hold the lock of its own connection
	}
	return ok
}

// Charge counts n more bytes, whether or not there is room for them.
func (h *Holding) Charge(n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.closed {
		h.account.table.Charge(h.exchange, n)
		h.account.relieveLater()
	}
}

// Shrink counts n bytes less.
func (h *Holding) Shrink(n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.table.Shrink(h.exchange, n)
}

// setUnfinished records that the client owes the rest of a request, or a whole one.
func (h *Holding) setUnfinished() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.closed {
		h.account.table.SetUnfinished(h.exchange, time.Now())
	}
}

// setWhole records that the client has sent a whole request. It returns false if it was let go before.
func (h *Holding) setWhole() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.exchange.IsLetGo() {
		return false
	}
	h.account.table.SetWhole(h.exchange)
	return true
}

// SetSlow records that the caller has kept a write waiting since a time.
func (h *Holding) SetSlow(since time.Time) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.closed {
		return
	}
	h.account.table.SetSlow(h.exchange, since)
	h.account.relieveLater()
}

// SetReading records that the caller reads as fast as it is written to.
func (h *Holding) SetReading() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.table.SetReading(h.exchange)
}

// State returns how much is held and for how long the caller has been slow.
func (h *Holding) State() (held int64, slowFor time.Duration) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.exchange.Held(), h.exchange.SlowFor(time.Now())
}

// Close ends the holding: nothing is held any more. Only the first call has an effect.
func (h *Holding) Close() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.closed = true
	h.account.table.Close(h.exchange)
	delete(h.account.holdings, h.exchange)
}

// LetGo lets the client go. Only the first call has an effect.
func (h *Holding) LetGo(cause Cause) {
	if !h.cause.CompareAndSwap(nil, &cause) {
		return
	}
	h.account.mu.Lock()
	h.account.letGo++
	if !h.closed {
		h.account.table.LetGo(h.exchange)
	}
	h.account.mu.Unlock()
	h.release()
	if f := h.onLetGo.Load(); f != nil {
		(*f)()
	}
}

// LetGoCause returns why the client was let go, empty if it was not.
func (h *Holding) LetGoCause() Cause {
	if cause := h.cause.Load(); cause != nil {
		return *cause
	}
	return ""
}

// holdingsOf returns the holdings of exchanges. The caller must hold a.mu.
func (a *Account) holdingsOf(exchanges []*backlog.Exchange) []*Holding {
	var out []*Holding
	for _, e := range exchanges {
		out = append(out, a.holdings[e])
	}
	return out
}

func letGoAll(list []*Holding) {
	for _, h := range list {
		h.LetGo(CauseMemory)
	}
}

// relieve lets clients go while more is held than the limit.
func (a *Account) relieve() {
	a.mu.Lock()
	leaving := a.holdingsOf(a.table.Relieve(time.Now()))
	a.relieving = false
	a.relieveLater()
	a.mu.Unlock()
	letGoAll(leaving)
}

// relieveLater makes relieve run if more is held than the limit. The caller must hold a.mu.
func (a *Account) relieveLater() {
	if a.table.OverLimit() && !a.relieving {
		a.relieving = true
		time.AfterFunc(backlog.ChoiceInterval, a.relieve)
	}
}
