package config

import (
	"bytes"
	"crypto/sha256"
	"iter"
	"slices"
	"time"
	"unique"

	"github.com/google/btree"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// treeDegree is the degree of the copy-on-write B-trees.
const treeDegree = 16

// State is the configuration after all records before an offset. It is
// immutable: Apply returns a new State that shares the unchanged parts. The
// zero State is empty. Methods are safe for concurrent use. Lookups don't
// allocate, and the values that they return are shared and must not be modified.
type State struct {
	t *tables
}

// tables holds the objects of a State.
type tables struct {
	next platform.Offset
	// timeMs is the latest time of the applied records, in milliseconds since 1970.
	timeMs  int64
	objects *btree.BTreeG[item]
	keys    *btree.BTreeG[keyItem]
	// byPool and all hold the endpoints sorted by id.
	byPool map[entity.PoolID][]*entity.Endpoint
	all    []*entity.Endpoint
}

// item is one row of the table of objects, ordered by kind and name.
type item struct {
	rank int
	name string
	e    *entry
}

// entry is one object. A deleted object remains as a tombstone without a
// document, so that a late copy of an old change is still recognised as
// superseded.
type entry struct {
	revision Revision
	changeID string
	operator unique.Handle[string]
	atMs     int64
	doc      document
}

// keyPrefix is the number of bytes of a key's hash that the index holds.
const keyPrefix = 16

// keyItem maps the beginning of a key's hash to its contract.
type keyItem struct {
	prefix   [keyPrefix]byte
	contract *Contract
}

// newKeyItem returns the row of a key.
func newKeyItem(sum [sha256.Size]byte, c *Contract) keyItem {
	return keyItem{prefix: [keyPrefix]byte(sum[:keyPrefix]), contract: c}
}

func lessItem(a, b item) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.name < b.name
}

func lessKey(a, b keyItem) bool {
	return bytes.Compare(a.prefix[:], b.prefix[:]) < 0
}

// emptyTables are the tables of the zero State. They are never written to.
var emptyTables = newTables()

func newTables() *tables {
	return &tables{
		objects: btree.NewG(treeDegree, lessItem),
		keys:    btree.NewG(treeDegree, lessKey),
	}
}

// tables returns the state's tables, also for the zero State.
func (s State) tables() *tables {
	if s.t == nil {
		return emptyTables
	}
	return s.t
}

// Next returns the offset of the first record that is not in the state.
func (s State) Next() platform.Offset { return s.tables().next }

// Revision returns the revision of the state.
func (s State) Revision() Revision { return Revision(s.tables().next) }

// entry returns the object's entry, which may be a tombstone, or nil.
func (s State) entry(k Kind, name string) *entry {
	it, ok := s.tables().objects.Get(item{rank: k.rank(), name: name})
	if !ok || s.expired(it.e) {
		return nil
	}
	return it.e
}

// TombstoneTTL is how long the tombstone of a deleted object is kept, measured
// by the times of the records. A copy of an old change that arrives after that
// would be applied as a new change.
const TombstoneTTL = 30 * 24 * time.Hour

// expired reports whether the entry is a tombstone older than TombstoneTTL. It
// depends on the state alone, so that all instances agree, whether they applied
// all records or began with a snapshot.
func (s State) expired(e *entry) bool {
	return e.doc == nil && s.tables().timeMs-e.atMs > TombstoneTTL.Milliseconds()
}

// find returns the document of the given kind and name; T is the kind's type.
func find[T document](s State, k Kind, name string) (T, bool) {
	var none T
	e := s.entry(k, name)
	if e == nil || e.doc == nil {
		return none, false
	}
	return e.doc.(T), true
}

// Contract returns the contract of the organisation.
func (s State) Contract(org entity.OrgID) (*Contract, bool) {
	return find[*Contract](s, KindContract, string(org))
}

// ContractByKeyHash returns the contract that holds the key with that SHA-256.
func (s State) ContractByKeyHash(sum [sha256.Size]byte) (*Contract, bool) {
	it, ok := s.tables().keys.Get(newKeyItem(sum, nil))
	if !ok || !it.contract.hasKeyHash(sum) {
		return nil, false
	}
	return it.contract, true
}

// Pool returns the pool of that name.
func (s State) Pool(id entity.PoolID) (*Pool, bool) {
	return find[*Pool](s, KindPool, string(id))
}

// Model returns the model of that name.
func (s State) Model(id entity.ModelID) (*Model, bool) {
	return find[*Model](s, KindModel, string(id))
}

// Endpoint returns the endpoint of that name as a row of the endpoint table.
func (s State) Endpoint(id entity.EndpointID) (*entity.Endpoint, bool) {
	list := s.tables().all
	i, ok := search(list, id)
	if !ok {
		return nil, false
	}
	return list[i], true
}

// Endpoints returns the endpoints of the pool, sorted by id.
func (s State) Endpoints(pool entity.PoolID) []*entity.Endpoint { return s.tables().byPool[pool] }

// AllEndpoints returns all endpoints, sorted by id.
func (s State) AllEndpoints() []*entity.Endpoint { return s.tables().all }

// Deployment returns the settings of the whole deployment, or the zero value
// if none has been published.
func (s State) Deployment() Deployment {
	d, ok := find[*Deployment](s, KindDeployment, DeploymentName)
	if !ok {
		return Deployment{}
	}
	return *d
}

// Tier returns the rank of the tier of that name.
func (s State) Tier(name string) (entity.Tier, bool) {
	i := slices.Index(s.Deployment().Tiers, name)
	return entity.Tier(i), i >= 0
}

// Models ranges over the models, sorted by name.
func (s State) Models() iter.Seq[*Model] { return all[*Model](s, KindModel) }

// Pools ranges over the pools, sorted by name.
func (s State) Pools() iter.Seq[*Pool] { return all[*Pool](s, KindPool) }

// Contracts ranges over the contracts, sorted by organisation.
func (s State) Contracts() iter.Seq[*Contract] { return all[*Contract](s, KindContract) }

// all ranges over the documents of a kind, sorted by name.
func all[T document](s State, k Kind) iter.Seq[T] {
	return func(yield func(T) bool) {
		r := k.rank()
		s.tables().objects.AscendRange(item{rank: r}, item{rank: r + 1}, func(it item) bool {
			return it.e.doc == nil || yield(it.e.doc.(T))
		})
	}
}

// tierUser returns an organisation whose contract names the tier, if there is one.
func (s State) tierUser(tier string) (entity.OrgID, bool) {
	for c := range s.Contracts() {
		if slices.Contains(c.Tiers, tier) {
			return c.Organisation, true
		}
	}
	return "", false
}
