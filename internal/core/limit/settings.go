package limit

import "time"

// Settings holds the timing and the bounds of lending.
type Settings struct {
	// ReportInterval is the least time between two demands for one
	// organisation, but for the first and for an ask that a request waits on.
	ReportInterval time.Duration
	// LeaseFor is how long a share holds without renewal.
	LeaseFor time.Duration
	// RenewAfter is the age at which a share in use is renewed.
	RenewAfter time.Duration
	// DemandTimeout is how long a request waits for the home.
	DemandTimeout time.Duration
	// IdleAfter is how long an organisation must be unused before its share is given back.
	IdleAfter time.Duration
	// MaxTickGap is the time without a Tick after which a home no longer
	// trusts what it knows of its borrowers.
	MaxTickGap time.Duration
	// BaseFraction is the part of a contract's rate that is not lent but
	// divided among all instances for good.
	BaseFraction float64
	// UnleasedTokens and FirstConcurrent are what an instance may admit, at once
	// and in flight, for an organisation that it has no share of.
	UnleasedTokens     int
	UnleasedConcurrent int
	// UnleasedReports bounds, per report interval, the organisations that are
	// reported without need: in use, but within the base.
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
