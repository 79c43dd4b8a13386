package platformsvc

import "time"

// Outage is the way in which a service fails to answer.
type Outage string

// The ways to fail.
const (
	// OutageNone means that the service works.
	OutageNone Outage = ""
	// OutageRefuse means that calls are refused at once, without effect.
	OutageRefuse Outage = "refuse"
	// OutageUnresponsive means that calls are never answered and have no effect.
	OutageUnresponsive Outage = "silent"
)

// Faults is what goes wrong at the moment, and the limits that always hold.
type Faults struct {
	// LogOutage, ListOutage and WeightsOutage take one service away.
	LogOutage     Outage `json:"log_outage"`
	ListOutage    Outage `json:"list_outage"`
	WeightsOutage Outage `json:"weights_outage"`
	// SlowMS delays every answer of the log, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAppendAnswers is how many of the next appends take effect without
	// an answer that says so.
	LoseAppendAnswers int `json:"lose_append_answers"`
	// AppendsPerSec bounds the appends of everyone together; 0 for no bound.
	AppendsPerSec float64 `json:"appends_per_sec"`
	// RetainRecords and RetainSec bound what each stream keeps; 0 for no bound.
	RetainRecords int     `json:"retain_records"`
	RetainSec     float64 `json:"retain_sec"`
	// ListLagSec is how far the list is behind.
	ListLagSec float64 `json:"list_lag_sec"`
	// ListExpirySec is how long an instance stays listed without renewal.
	ListExpirySec float64 `json:"list_expiry_sec"`
	// WeightBytesPerSec bounds the downloads of everyone together; 0 for no bound.
	WeightBytesPerSec float64 `json:"weight_bytes_per_sec"`
}

// DefaultFaults are the limits of a platform on which nothing is wrong.
func DefaultFaults() Faults {
	return Faults{
		AppendsPerSec:     400,
		ListLagSec:        1,
		ListExpirySec:     10,
		WeightBytesPerSec: 1 << 30,
	}
}

// seconds converts a setting in seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
