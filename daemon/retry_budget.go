package daemon

import (
	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/setup"
)

const (
	// usedBudgetShare is the share of the retry budget per request that is used.
	// The rest covers retries that daemons send before they have received each
	// other's counts.
	usedBudgetShare = 0.9
	// usedSlackShare is the corresponding share of the budget's slack.
	usedSlackShare = 0.9
	// savedSlackShare is the share of the slack that may accumulate. The rest is
	// added per second.
	savedSlackShare = 0.5
)

// retryBudget returns one data centre's share of the fleet's retry budget. The
// slack is divided by the number of data centres; 0 counts as 1. The daemons of
// the data centre share the budget by sending each other their retry counts.
func retryBudget(r setup.RetryLimits, dataCentres int) choose.RetryLimits {
	slack := r.Slack * usedSlackShare / float64(max(dataCentres, 1))
	return choose.RetryLimits{
		PerRequest: r.PerRequest * usedBudgetShare,
		PerSecond:  slack * (1 - savedSlackShare) / float64(r.Window) * float64(clock.Second),
		MaxSaved:   max(slack*savedSlackShare, 1),
		Reserve:    r.Reserve,
	}
}
