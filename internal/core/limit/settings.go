package limit

import "time"

// Settings holds the time-outs and bounds of lending.
type Settings struct {
	// ReportInterval is the minimum time between two demands for one
	// organisation. It does not apply to the first demand, nor to one that a
	// request waits for.
	ReportInterval time.Duration
	// LeaseFor is how long a share stays in force without renewal.
	LeaseFor time.Duration
	// RenewAfter is the age at which a share in use is renewed.
	RenewAfter time.Duration
	// DemandTimeout is how long a request waits for the home's answer to a demand.
	DemandTimeout time.Duration
	// IdleAfter is how long an organisation must be unused before its share is released.
	IdleAfter time.Duration
	// MaxTickGap is the longest time without a Tick or a demand after which a home
	// still relies on its record of loans. After a longer one, other instances may
	// have lent the same shares.
	MaxTickGap time.Duration
	// BaseFraction is the fraction of a contract's rate that is not lent but
	// divided among all instances.
	BaseFraction float64
	// UnleasedTokens and UnleasedConcurrent bound what an instance may admit at
	// once and keep in flight for an organisation that it has no share of.
	UnleasedTokens     int
	UnleasedConcurrent int
	// UnleasedReports bounds how many organisations without a share a borrower
	// reports per report interval although no request needs a share.
	UnleasedReports int
}

// DefaultSettings returns the settings that the daemon uses.
func DefaultSettings() Settings {
	return Settings{
		ReportInterval:     time.Second,
		LeaseFor:           20 * time.Second,
		RenewAfter:         5 * time.Second,
		DemandTimeout:      200 * time.Millisecond,
		IdleAfter:          5 * time.Second,
		MaxTickGap:         1500 * time.Millisecond,
		BaseFraction:       0.5,
		UnleasedTokens:     3,
		UnleasedConcurrent: 2,
		UnleasedReports:    4,
	}
}
