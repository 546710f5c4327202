package daemon

import (
	"reflect"

	"chestnutlatch/limit"
	"chestnutlatch/setup"
)

// Reload takes over new settings. What a running daemon can change is in force
// at once; the rest is named in the log and waits for a restart.
func (d *Daemon) Reload(cfg *setup.Settings) {
	old := d.live.Load()
	if reflect.DeepEqual(old, cfg) {
		d.log.Info("settings read again, nothing changed")
		return
	}
	if d.shares != nil {
		d.shares.SetConfig(shareConfig(cfg))
	}
	d.log.SetLevel(cfg.LogLevel)
	d.live.Store(cfg)
	d.log.Info("settings read again", "log_level", cfg.LogLevel, "needs_restart", needsRestart(old, cfg))
}

func shareConfig(cfg *setup.Settings) limit.ShareConfig {
	return limit.ShareConfig{
		Parts: cfg.Rates.Parts, Window: cfg.Rates.Window, Overshoot: cfg.Rates.Overshoot, Slack: cfg.Rates.Slack,
	}
}

// needsRestart reports whether settings differ in more than a running daemon
// can change.
func needsRestart(old, cfg *setup.Settings) bool {
	a, b := *old, *cfg
	a.Rates, a.Retries, a.LogLevel = b.Rates, b.Retries, b.LogLevel
	return !reflect.DeepEqual(a, b)
}
