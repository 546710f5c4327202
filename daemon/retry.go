package daemon

import (
	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/setup"
)

const (
	// retryPart is the part of the fleet's retry budget for each request that
	// is used; the rest covers what daemons spend before they hear of each
	// other.
	retryPart = 0.9
	// retrySlackPart is the same for the budget's slack.
	retrySlackPart = 0.9
	// retrySaved is the part of the slack that may be saved up; the
	// rest comes with time.
	retrySaved = 0.5
)

// retriesOf is one data centre's part of the fleet's retry budget. Its daemons
// tell each other what they use.
func retriesOf(r setup.Retries, parts int) choose.Retries {
	slack := r.Slack * retrySlackPart / float64(max(parts, 1))
	return choose.Retries{
		Part:      r.Part * retryPart,
		PerSecond: slack * (1 - retrySaved) / float64(r.Window) * float64(clock.Second),
		Most:      max(slack*retrySaved, 1),
	}
}
