package platformsvc

import "time"

// Outage is the way in which a service is unavailable.
type Outage string

// The kinds of outage.
const (
	// OutageNone means that the service works.
	OutageNone Outage = ""
	// OutageRefuse means that calls are refused at once, without effect.
	OutageRefuse Outage = "refuse"
	// OutageUnresponsive means that calls are never answered and have no effect.
	OutageUnresponsive Outage = "silent"
)

// Faults holds the faults in force and the limits of the platform.
type Faults struct {
	// LogOutage, ListOutage and WeightsOutage make one service unavailable.
	LogOutage     Outage `json:"log_outage"`
	ListOutage    Outage `json:"list_outage"`
	WeightsOutage Outage `json:"weights_outage"`
	// SlowMs delays every response of the log, in milliseconds.
	SlowMs int64 `json:"slow_ms"`
	// LoseAppendResponses is the number of upcoming appends that take effect without a response to
	// the caller.
	LoseAppendResponses int `json:"lose_append_answers"`
	// AppendsPerSec limits the rate of appends over all callers; 0 means no limit.
	AppendsPerSec float64 `json:"appends_per_sec"`
	// RetainRecords and RetainSec limit the number and the age of the records that each stream
	// retains; 0 means no limit.
	RetainRecords int     `json:"retain_records"`
	RetainSec     float64 `json:"retain_sec"`
	// ListLagSec is the age of the list that List returns.
	ListLagSec float64 `json:"list_lag_sec"`
	// ListExpirySec is how long an instance stays listed without renewal; 0 means that it does not
	// expire.
	ListExpirySec float64 `json:"list_expiry_sec"`
	// WeightBytesPerSec limits the rate of downloads over all callers; 0 means no limit.
	WeightBytesPerSec float64 `json:"weight_bytes_per_sec"`
}

// DefaultFaults returns the limits of a platform without faults.
func DefaultFaults() Faults {
	return Faults{
		AppendsPerSec:     400,
		ListLagSec:        1,
		ListExpirySec:     10,
		WeightBytesPerSec: 1 << 30,
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
