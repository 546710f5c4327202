package fleet

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/load"
	"chestnutlatch/platform"
	"chestnutlatch/record"
	"chestnutlatch/stand"
)

// Service names of the demonstration.
const (
	serviceStatus   = "status-desk"
	serviceDispatch = "dispatch"
	serviceStores   = "stores"
)

// demoTeam is a team of the demonstration.
type demoTeam struct {
	name ident.Team
	// rate is in requests per second, and the burst in requests.
	rate uint32
	load float64
}

func demoTeams() []demoTeam {
	return []demoTeam{{"makola", 200, 60}, {"kejetia", 200, 60}, {"tamale", 50, 15}, {"bolga", 50, 15}}
}

func demoRoutes() []record.Route {
	return []record.Route{
		{ID: "status", Prefix: "/status", Service: serviceStatus, Priority: ident.PriorityLow, Timeout: demoTimeout},
		{ID: "bookings", Prefix: "/bookings", Service: serviceDispatch, OneTime: true, Priority: ident.PriorityNormal, Timeout: demoTimeout},
		{ID: "vouchers", Prefix: "/vouchers", Service: serviceStores, OneTime: true, Priority: ident.PriorityHigh, Timeout: demoTimeout},
	}
}

// partsPath is what targets call on a platform while they work.
const partsPath = "/parts"

// platformRoutes are the demonstration's routes and that of the targets' calls,
// which is open.
func platformRoutes() []record.Route {
	return append(demoRoutes(), record.Route{
		ID: "parts", Prefix: partsPath, Service: serviceStores, Open: true, Priority: ident.PriorityNormal, Timeout: demoTimeout,
	})
}

// demoTimeout is the time limit of the demonstration's routes, in milliseconds.
const demoTimeout = 5 * clock.Second

// Configure applies the demonstration's records and returns the teams with
// their keys.
func (f *Fleet) Configure() ([]load.Team, error) {
	if f.spec.Adapter != "" {
		return f.configurePlatform()
	}
	for _, r := range demoRoutes() {
		args := []string{
			"route", "set", string(r.ID), "--prefix", r.Prefix, "--service", string(r.Service), "--priority", r.Priority.String(),
			"--timeout", r.Timeout.Duration().String(), "--wait", "0",
		}
		if r.OneTime {
			args = append(args, "--one-time")
		}
		if _, err := f.Operator(args...); err != nil {
			return nil, err
		}
	}
	var out []load.Team
	for _, t := range demoTeams() {
		rate := fmt.Sprint(t.rate)
		if _, err := f.Operator("team", "set", string(t.name), "--rate", rate, "--burst", rate, "--wait", "0"); err != nil {
			return nil, err
		}
		key, err := f.IssueKey(string(t.name))
		if err != nil {
			return nil, err
		}
		out = append(out, load.Team{Name: string(t.name), Key: key, Rate: t.load})
	}
	return out, nil
}

// configurePlatform writes the demonstration's records as the platform's
// operators do.
func (f *Fleet) configurePlatform() ([]load.Team, error) {
	var teams []platform.KeyedTeam
	var out []load.Team
	for _, t := range demoTeams() {
		key := rand.Text()
		teams = append(teams, platform.KeyedTeam{Team: record.Team{ID: t.name, Rate: t.rate, Burst: t.rate}, Keys: []string{key}})
		out = append(out, load.Team{Name: string(t.name), Key: key, Rate: t.load})
	}
	doc, err := platform.WriteDocument(1, platformRoutes(), teams, record.CallerLimits{})
	if err != nil {
		return nil, err
	}
	return out, PutJSON(f.Store.Control, "/document", json.RawMessage(doc))
}

// IssueKey issues a key for a team.
func (f *Fleet) IssueKey(team string) (string, error) {
	text, err := f.Operator("key", "issue", "--team", team, "--json", "--wait", "0")
	if err != nil {
		return "", err
	}
	var k struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal([]byte(text), &k); err != nil {
		return "", errors.Wrap(err, "read issued key")
	}
	return k.Key, nil
}

// DemoPaths is the mix of requests of the demonstration.
func DemoPaths() []load.Path {
	return []load.Path{
		{Path: "/status", Part: 0.7},
		{Path: "/bookings", OneTime: true, Part: 0.2},
		{Path: "/vouchers", OneTime: true, Part: 0.1},
	}
}

// DemoServices are the services of the demonstration.
func DemoServices() []string {
	return []string{serviceStatus, serviceDispatch, serviceStores}
}

// OnPlatform sets in a load what callers of a platform send; an empty adapter
// changes nothing.
func OnPlatform(cfg load.Config, adapter string) load.Config {
	if adapter != "" {
		d := platform.Adapter().Dialect
		cfg.Attempt, cfg.Remaining = d.Attempt, d.Timeout
	}
	return cfg
}

// WriteDemo writes demo.json: every process, one key for each team, and the
// platform's adapter.
func (f *Fleet) WriteDemo(dir string, teams []load.Team) error {
	all := append([]*Process{f.Store}, f.Targets...)
	all = append(all, f.Daemons...)
	body, err := json.MarshalIndent(struct {
		Processes []*Process  `json:"processes"`
		Teams     []load.Team `json:"teams"`
		Adapter   string      `json:"adapter,omitempty"`
	}{all, teams, f.spec.Adapter}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "demo.json"), body, 0o600)
}

// Verdict compares what callers saw with what the targets counted.
type Verdict struct {
	// Doubles counts the actions that ran more than once.
	Doubles int `json:"doubles"`
	// FalseNotRun counts the actions refused as not run that ran.
	FalseNotRun int `json:"false_not_run"`
	// Lost counts the actions answered as served that no target ran.
	Lost int `json:"lost"`
	// Unknown counts the actions whose outcome the caller does not know.
	Unknown int `json:"unknown"`
	// KeysSeen counts the requests in which a target saw a key.
	KeysSeen int `json:"keys_seen"`
	Mixed    int `json:"mixed_answers"`
}

// IsClean reports whether every promise held.
func (v Verdict) IsClean() bool {
	return v.Doubles == 0 && v.FalseNotRun == 0 && v.Lost == 0 && v.KeysSeen == 0 && v.Mixed == 0
}

// Judge reads the targets' records and compares them with the result.
func (f *Fleet) Judge(res *load.Result) (Verdict, error) {
	runs := map[string]int{}
	v := Verdict{Mixed: res.Mixed}
	for _, t := range f.Targets {
		var rec stand.Record
		if _, err := GetJSON(t.Control, "/record", &rec); err != nil {
			return v, errors.Wrapf(err, "record of %s", t.Name)
		}
		v.KeysSeen += rec.KeysSeen
		for a, n := range rec.Runs {
			runs[a] += n
		}
	}
	for action, final := range res.Actions {
		n := runs[action]
		switch {
		case n > 1:
			v.Doubles++
		case final == load.FinalServed && n == 0:
			v.Lost++
		case final == load.FinalNotRun && n > 0:
			v.FalseNotRun++
		case final == load.FinalUnknown:
			v.Unknown++
		}
	}
	return v, nil
}
