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
	ReportPrefix        = "dc/"
	reportCheckInterval = 250 * time.Millisecond
	// maxReportInterval is the time after which an unchanged report is written
	// again.
	maxReportInterval = 20 * clock.Second
	// maxReportContacts is the maximum number of contact members in a report.
	maxReportContacts = 8
	// maxRevisionAge is the time within which a member must have sent a message
	// for its revision to count.
	maxRevisionAge = 20 * clock.Second
	// maxReports is the maximum number of reports read in one listing.
	maxReports = 256
)

// Report is the state of one data centre as written to the store, for operators
// and for daemons that look for peers.
type Report struct {
	DataCentre ident.DataCentre `json:"data_centre"`
	Region     ident.Region     `json:"region"`
	Reporter   ident.Instance   `json:"reporter"`
	// InForce is the lowest configuration revision in force at the live members
	// that sent a message within maxRevisionAge.
	InForce ident.Revision `json:"in_force"`
	// Live is the number of live members, including the reporter.
	Live int `json:"live"`
	// Silent is the number of live members that sent no message within
	// maxRevisionAge.
	Silent int `json:"silent"`
	// At is the reporter's wall clock in milliseconds since the Unix epoch.
	At clock.Millis `json:"at_ms"`
	// Contacts holds encoded records of live members, which a starting daemon
	// contacts first.
	Contacts [][]byte `json:"contacts"`
}

// readContacts reads the contact members from the reports of all data centres.
// Records that cannot be decoded are left out.
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

// ReadReports reads the reports of all data centres from the store, at most
// maxReports. Reports that cannot be decoded are left out. It returns an
// error if the store fails or does not reply within storeTimeout.
func ReadReports(ctx context.Context, st store.Store) ([]Report, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := st.List(callCtx, ReportPrefix, "", maxReports)
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

// runReports writes the data centre's report when InForce, Live or Silent changes
// or maxReportInterval has passed, while this daemon ranks first.
func (d *Daemon) runReports(ctx context.Context) {
	tick := time.NewTicker(reportCheckInterval)
	defer tick.Stop()
	var last Report
	var writtenAt clock.Millis
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := d.clk.Now()
		if d.members.rank() != 0 {
			writtenAt = 0
			continue
		}
		r := d.makeReport(now)
		recent := writtenAt > 0 && now-writtenAt < maxReportInterval
		if recent && r.InForce == last.InForce && r.Live == last.Live && r.Silent == last.Silent {
			continue
		}
		if err := d.writeReport(ctx, r); err != nil {
			d.log.Debug("failed to write the data centre's report", "error", err)
			continue
		}
		last, writtenAt = r, max(now, 1)
	}
}

func (d *Daemon) makeReport(now clock.Millis) Report {
	d.members.mu.RLock()
	defer d.members.mu.RUnlock()
	view := d.members.view
	lowest, silent := view.LowestRevision(now - maxRevisionAge)
	r := Report{
		DataCentre: d.cfg.DataCentre, Region: d.cfg.Region, Reporter: d.instance,
		InForce: lowest, Silent: silent, At: d.clk.Wall(),
	}
	for _, m := range view.Members() {
		if m.DataCentre != d.cfg.DataCentre || !m.IsUp() {
			continue
		}
		r.Live++
		if len(r.Contacts) < maxReportContacts {
			if b, err := member.EncodeMember(m); err == nil {
				r.Contacts = append(r.Contacts, b)
			}
		}
	}
	return r
}

func (d *Daemon) writeReport(ctx context.Context, r Report) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	key := ReportPrefix + string(d.cfg.DataCentre)
	expected := store.Absent
	e, err := d.store.Get(ctx, key)
	if err == nil {
		expected = e.Revision
	} else if !store.IsNotFound(err) {
		return err
	}
	d.logSyncer.noteStoreReply()
	_, err = d.store.Swap(ctx, key, expected, value, store.NoLease)
	return err
}
