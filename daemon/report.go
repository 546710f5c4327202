package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/store"
)

const (
	// ReportPrefix is the store prefix of the data centres' reports.
	ReportPrefix = "dc/"
	reportTick   = 250 * time.Millisecond
	// reportEvery is the time between two reports without news.
	reportEvery = 20 * clock.Second
	// reportContacts bounds the members named for a first contact.
	reportContacts = 8
	// heardWithin is how long ago a member must have been heard to count.
	heardWithin = 20 * clock.Second
	// contactDCs bounds the reports read for the first contact.
	contactDCs = 256
)

// Report is what one data centre tells the operators through the store.
type Report struct {
	DataCentre ident.DataCentre `json:"data_centre"`
	Region     ident.Region     `json:"region"`
	Reporter   ident.Instance   `json:"reporter"`
	// InForce is the lowest revision in force at the live members.
	InForce ident.Revision `json:"in_force"`
	Live    int            `json:"live"`
	// Silent counts the live members that were not heard lately.
	Silent int          `json:"silent"`
	At     clock.Millis `json:"at_ms"`
	// Contacts are encoded member records for a first contact.
	Contacts [][]byte `json:"contacts"`
}

// readContacts reads the members that the reports name.
func readContacts(ctx context.Context, st store.Store) ([]*member.Member, error) {
	reports, err := ReadReports(ctx, st)
	if err != nil {
		return nil, err
	}
	var out []*member.Member
	for _, r := range reports {
		for _, b := range r.Contacts {
			if m, err := member.DecodeMember(b); err == nil {
				out = append(out, m)
			}
		}
	}
	return out, nil
}

// ReadReports reads the reports of all data centres.
func ReadReports(ctx context.Context, st store.Store) ([]Report, error) {
	call, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	entries, _, err := st.List(call, ReportPrefix, "", contactDCs)
	if err != nil {
		return nil, err
	}
	var out []Report
	for _, e := range entries {
		var r Report
		if err := json.Unmarshal(e.Value, &r); err == nil {
			out = append(out, r)
		}
	}
	return out, nil
}

// report writes the data centre's report while this daemon ranks first in it.
func (d *Daemon) report(ctx context.Context) {
	tick := time.NewTicker(reportTick)
	defer tick.Stop()
	var last Report
	var wrote clock.Millis
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := d.clk.Now()
		if d.members.rank() != 0 {
			wrote = 0
			continue
		}
		r := d.makeReport(now)
		fresh := wrote > 0 && now-wrote < reportEvery
		if fresh && r.InForce == last.InForce && r.Live == last.Live && r.Silent == last.Silent {
			continue
		}
		if err := d.writeReport(ctx, r); err != nil {
			d.log.Debug("report not written", "error", err)
			continue
		}
		last, wrote = r, max(now, 1)
	}
}

func (d *Daemon) makeReport(now clock.Millis) Report {
	d.members.mu.RLock()
	defer d.members.mu.RUnlock()
	view := d.members.view
	lowest, silent := view.LowestRevision(now - heardWithin)
	r := Report{
		DataCentre: d.cfg.DataCentre, Region: d.cfg.Region, Reporter: d.instance,
		InForce: lowest, Silent: silent, At: d.clk.Wall(),
	}
	for _, m := range view.Members() {
		if m.DataCentre != d.cfg.DataCentre || !m.IsUp() {
			continue
		}
		r.Live++
		if len(r.Contacts) < reportContacts {
			if b, err := member.EncodeMember(m); err == nil {
				r.Contacts = append(r.Contacts, b)
			}
		}
	}
	return r
}

func (d *Daemon) writeReport(ctx context.Context, r Report) error {
	ctx, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	key := ReportPrefix + string(d.cfg.DataCentre)
	want := store.Absent
	e, err := d.store.Get(ctx, key)
	if err == nil {
		want = e.Revision
	} else if !store.IsNotFound(err) {
		return err
	}
	d.syncer.touched()
	_, err = d.store.Swap(ctx, key, want, value, store.NoLease)
	return err
}
