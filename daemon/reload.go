package daemon

import (
	"reflect"

	"chestnutlatch/limit"
	"chestnutlatch/setup"
)

// Reload replaces the settings while the daemon runs. The rates and the log level
// apply at once, the retries at the next listing of daemons from the store; rates and
// retries are used on a platform only. The log says whether other settings differ from
// those that the daemon started with; they apply after a restart. Calls must not
// overlap.
func (d *Daemon) Reload(cfg *setup.Settings) {
	old := d.liveSettings.Load()
	if reflect.DeepEqual(old, cfg) {
		d.log.Info("settings read again, nothing changed")
		return
	}
	if d.shares != nil {
		d.shares.SetConfig(shareConfig(cfg))
	}
	d.log.SetLevel(cfg.LogLevel)
	d.liveSettings.Store(cfg)
	d.log.Info("settings read again", "log_level", cfg.LogLevel, "needs_restart", needsRestart(d.cfg, cfg))
}

func shareConfig(cfg *setup.Settings) limit.ShareConfig {
	return limit.ShareConfig{
		DataCentres: cfg.Rates.DataCentres, Window: cfg.Rates.Window, Overshoot: cfg.Rates.Overshoot, Slack: cfg.Rates.Slack,
	}
}

// needsRestart reports whether settings differ in values that apply only after a
// restart.
func needsRestart(old, cfg *setup.Settings) bool {
	a, b := *old, *cfg
	a.Rates, a.Retries, a.LogLevel = b.Rates, b.Retries, b.LogLevel
	return !reflect.DeepEqual(a, b)
}
