package measure

import (
	"fmt"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	model      = entity.ModelID("careful")
	enginePool = entity.PoolID("engines")
	plainPool  = entity.PoolID("services")
	tiers      = 5
	instances  = 14
)

// kind is one kind of request in a deployment.
type kind struct {
	name string
	tier entity.Tier
	// perCase is the average number of such requests per case (a visit, a
	// portfolio). They arrive at random times up to within after its start.
	perCase float64
	within  time.Duration
	// ownTokens is the median number of prompt tokens that only this request has.
	// With document, the case's shared document precedes them.
	ownTokens    int
	document     bool
	answerTokens int // median
	deadline     time.Duration
	// service is the median duration of a call to a plain service; 0 for a request
	// to an engine.
	service       time.Duration
	nonIdempotent bool
}

// Deployment describes the endpoints and the traffic of one user of the system.
type Deployment struct {
	Name     string
	zones    int
	engines  int
	services int
	// templates is the number of shared prompt prefixes, each of templateTokens
	// tokens.
	templates      int
	templateTokens int
	// document is the median length of a case's document.
	document int
	kinds    []kind
	// orgs holds each organisation's fraction of the traffic.
	orgs []float64
}

// Deployments returns the deployments that are measured.
func Deployments() []Deployment {
	orgs := []float64{0.45, 0.3, 0.15, 0.06, 0.04}
	return []Deployment{
		{
			Name: "Vērotājs", zones: 4, engines: 20, services: 5,
			templates: 40, templateTokens: 512, document: 2500, orgs: orgs,
			kinds: []kind{
				{name: "field lookup", tier: 0, perCase: 2, within: 20 * time.Second, ownTokens: 250, answerTokens: 50, deadline: 5 * time.Second},
				{name: "answer score", tier: 1, perCase: 3, within: 30 * time.Second, ownTokens: 100, document: true, answerTokens: 40, deadline: 15 * time.Second},
				{name: "complaint tag", tier: 2, perCase: 1, within: 60 * time.Second, ownTokens: 120, document: true, answerTokens: 80, deadline: time.Minute},
				{name: "narrative", tier: 3, perCase: 1, within: 60 * time.Second, ownTokens: 200, document: true, answerTokens: 500, deadline: 4 * time.Minute},
				{name: "rework", tier: 4, perCase: 0.3, within: 90 * time.Second, ownTokens: 400, document: true, answerTokens: 500, deadline: 4 * time.Minute},
				{name: "app lookup", tier: 0, perCase: 6, within: 30 * time.Second, service: 15 * time.Millisecond, deadline: 2 * time.Second},
				{name: "payout booking", tier: 1, perCase: 1, within: 60 * time.Second, service: 40 * time.Millisecond, deadline: 20 * time.Second, nonIdempotent: true},
				{name: "app listing", tier: 3, perCase: 4, within: 60 * time.Second, service: 60 * time.Millisecond, deadline: 20 * time.Second},
			},
		},
		{
			Name: "Tímaskipti", zones: 3, engines: 20, services: 3,
			templates: 12, templateTokens: 256, document: 3500, orgs: orgs,
			kinds: []kind{
				{name: "match check", tier: 0, perCase: 8, within: 30 * time.Second, ownTokens: 300, answerTokens: 40, deadline: 4 * time.Second},
				{name: "volunteer search", tier: 1, perCase: 3, within: 30 * time.Second, ownTokens: 500, answerTokens: 100, deadline: 12 * time.Second},
				{name: "draft hint", tier: 2, perCase: 2, within: 60 * time.Second, ownTokens: 150, document: true, answerTokens: 120, deadline: time.Minute},
				{name: "portfolio review", tier: 3, perCase: 1.5, within: 90 * time.Second, ownTokens: 300, document: true, answerTokens: 600, deadline: 4 * time.Minute},
				{name: "reindexing", tier: 4, perCase: 0.5, within: 90 * time.Second, ownTokens: 300, document: true, answerTokens: 200, deadline: 4 * time.Minute},
				{name: "credit transfer", tier: 0, perCase: 3, within: 30 * time.Second, service: 30 * time.Millisecond, deadline: 5 * time.Second, nonIdempotent: true},
				{name: "ledger reading", tier: 2, perCase: 5, within: 60 * time.Second, service: 50 * time.Millisecond, deadline: 20 * time.Second},
			},
		},
	}
}

// endpoints returns the deployment's endpoints. Two in five engines are of an older,
// slower generation.
func (d *Deployment) endpoints() []entity.Endpoint {
	var rows []entity.Endpoint
	for i := range d.engines {
		speed := generationSpeed(i)
		rows = append(rows, entity.Endpoint{
			ID: entity.EndpointID(fmt.Sprintf("engine-%02d", i)), Pool: enginePool, Zone: d.zone(i), Kind: entity.KindEngine,
			Models: []entity.ModelID{model}, Slots: engineSlots, KVTokens: engineMemory,
			Generation:          fmt.Sprintf("g%.1f", speed),
			PrefillTokensPerSec: ratedPrefill * speed, DecodeTokensPerSec: ratedDecode * speed,
		})
	}
	for i := range d.services {
		rows = append(rows, entity.Endpoint{
			ID: entity.EndpointID(fmt.Sprintf("service-%02d", i)), Pool: plainPool, Zone: d.zone(i), Kind: entity.KindService,
			Slots: serviceSlots, Generation: "plain",
		})
	}
	return rows
}

func (d *Deployment) zone(i int) entity.ZoneID {
	return entity.ZoneID(fmt.Sprintf("zone-%d", i%d.zones))
}

// generationSpeed returns the speed of the i-th engine, relative to the newest
// generation.
func generationSpeed(i int) float64 {
	if i%5 >= 3 {
		return 0.6
	}
	return 1
}
