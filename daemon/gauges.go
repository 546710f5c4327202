package daemon

import "fmt"

// registerGauges registers the metrics whose values are read when the metrics
// are written.
func (d *Daemon) registerGauges() {
	d.meter.Gauge("chestnutlatch_config_revision", func() float64 { return float64(d.table.Revision()) })
	d.meter.Gauge("chestnutlatch_config_bytes", func() float64 { return float64(d.table.Bytes()) })
	d.meter.Gauge("chestnutlatch_members", func() float64 { return float64(d.fleet.count()) })
	d.meter.Gauge("chestnutlatch_targets", func() float64 { return float64(d.picker.TargetCount()) })
	d.meter.Gauge("chestnutlatch_rate_slots_held", func() float64 { return float64(d.rateSlots.heldCount()) })
	d.meter.Gauge("chestnutlatch_suspect_targets", func() float64 { return float64(d.guard.SuspectCount(d.clk.Now())) })
	d.meter.Gauge("chestnutlatch_bad_paths", func() float64 { return float64(d.picker.UnreachablePathCount(d.clk.Now())) })
	d.meter.Gauge("chestnutlatch_peer_connections_replaced", func() float64 { return float64(d.peers.Replaced()) })
	d.meter.Gauge("chestnutlatch_evacuated_data_centres", func() float64 { return float64(len(d.evacuations.evacuated())) })
	d.meter.Gauge("chestnutlatch_retries_left", func() float64 { return d.picker.RetriesLeft() })
	for kind, bytes := range map[string]func(BodyStatus) int64{
		"requests": func(s BodyStatus) int64 { return s.Requests },
		"large":    func(s BodyStatus) int64 { return s.Large },
		"limit":    func(s BodyStatus) int64 { return s.Limit },
		"heads":    func(s BodyStatus) int64 { return s.Heads },
		"writing":  func(s BodyStatus) int64 { return s.Writing },
		"answers":  func(s BodyStatus) int64 { return s.Answers },
	} {
		d.meter.Gauge(fmt.Sprintf("chestnutlatch_body_bytes{kind=%q}", kind), func() float64 { return float64(bytes(d.bodyStatus())) })
	}
	d.meter.Gauge("chestnutlatch_bodies_reading", func() float64 { return float64(d.bodyStatus().Reading) })
	if d.platform != nil {
		d.meter.Gauge("chestnutlatch_config_age_seconds", func() float64 {
			return elapsedSince(d.clk.Now(), &d.documentSyncer.installedAt).Duration().Seconds()
		})
		d.meter.Gauge("chestnutlatch_store_silent_seconds", func() float64 {
			return elapsedSince(d.clk.Now(), &d.documentSyncer.failingSince).Duration().Seconds()
		})
		d.meter.Gauge("chestnutlatch_config_watches", func() float64 {
			if d.documentSyncer.watching.Load() {
				return 1
			}
			return 0
		})
		d.meter.Gauge("chestnutlatch_rate_teams", func() float64 { return float64(d.shares.Stats(d.clk.Now()).Teams) })
		d.meter.Gauge("chestnutlatch_rate_senders", func() float64 { return float64(d.shares.Stats(d.clk.Now()).Peers) })
	}
	d.meter.Gauge("chestnutlatch_tickets_open", func() float64 {
		open, _ := d.guard.TicketStats()
		return float64(open)
	})
}
