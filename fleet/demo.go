package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"chestnutlatch/load"
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
	name  string
	rate  string
	burst string
	load  float64
}

var demoTeams = []demoTeam{
	{"makola", "200", "200", 60},
	{"kejetia", "200", "200", 60},
	{"tamale", "50", "50", 15},
	{"bolga", "50", "50", 15},
}

// Configure applies the demonstration's records and returns the teams with
// their keys.
func (f *Fleet) Configure() ([]load.Team, error) {
	routes := [][]string{
		{"status", "--prefix", "/status", "--service", serviceStatus, "--priority", "low"},
		{"bookings", "--prefix", "/bookings", "--service", serviceDispatch, "--one-time"},
		{"vouchers", "--prefix", "/vouchers", "--service", serviceStores, "--one-time", "--priority", "high"},
	}
	for _, r := range routes {
		args := append([]string{"route", "set"}, r...)
		if _, err := f.Operator(append(args, "--timeout", "5s", "--wait", "0")...); err != nil {
			return nil, err
		}
	}
	var out []load.Team
	for _, t := range demoTeams {
		if _, err := f.Operator("team", "set", t.name, "--rate", t.rate, "--burst", t.burst, "--wait", "0"); err != nil {
			return nil, err
		}
		key, err := f.IssueKey(t.name)
		if err != nil {
			return nil, err
		}
		out = append(out, load.Team{Name: t.name, Key: key, Rate: t.load})
	}
	return out, nil
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

// WriteDemo writes demo.json: every process, and one key for each team.
func (f *Fleet) WriteDemo(dir string, teams []load.Team) error {
	all := append([]*Process{f.Store}, f.Targets...)
	all = append(all, f.Daemons...)
	body, err := json.MarshalIndent(struct {
		Processes []*Process  `json:"processes"`
		Teams     []load.Team `json:"teams"`
	}{all, teams}, "", "  ")
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
