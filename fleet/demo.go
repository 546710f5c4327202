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

// Service names in the demonstration.
const (
	serviceStatus   = "status-desk"
	serviceDispatch = "dispatch"
	serviceStores   = "stores"
)

// demoTeam is a team in the demonstration.
type demoTeam struct {
	name ident.Team
	// rate is the configured rate limit in requests per second; the burst is the
	// same number of requests.
	rate uint32
	// sentRate is the load that the team sends, in requests per second.
	sentRate float64
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

// partsPath is the path that targets on a platform call while they handle a
// request.
const partsPath = "/parts"

// platformRoutes returns the demonstration's routes and an open route, which needs
// no key, for the calls of targets.
func platformRoutes() []record.Route {
	return append(demoRoutes(), record.Route{
		ID: "parts", Prefix: partsPath, Service: serviceStores, Open: true, Priority: ident.PriorityNormal, Timeout: demoTimeout,
	})
}

// demoTimeout is the time limit of a request on the demonstration's routes, in
// milliseconds.
const demoTimeout = 5 * clock.Second

// Configure writes the demonstration's routes, teams and keys to the store, and
// returns the teams with their keys and the load that each sends. It waits until the
// store listens, but not until the daemons have applied the records.
func (f *Fleet) Configure() ([]load.Team, error) {
	if err := f.waitStore(); err != nil {
		return nil, err
	}
	if f.spec.Adapter != "" {
		return f.configurePlatform()
	}
	for _, route := range demoRoutes() {
		args := []string{
			"route", "set", string(route.ID), "--prefix", route.Prefix, "--service", string(route.Service), "--priority", route.Priority.String(),
			"--timeout", route.Timeout.Duration().String(), "--wait", "0",
		}
		if route.OneTime {
			args = append(args, "--one-time")
		}
		if _, err := f.RunOperatorCommand(args...); err != nil {
			return nil, err
		}
	}
	var out []load.Team
	for _, t := range demoTeams() {
		rate := fmt.Sprint(t.rate)
		if _, err := f.RunOperatorCommand("team", "set", string(t.name), "--rate", rate, "--burst", rate, "--wait", "0"); err != nil {
			return nil, err
		}
		key, err := f.IssueKey(string(t.name))
		if err != nil {
			return nil, err
		}
		out = append(out, load.Team{Name: string(t.name), Key: key, Rate: t.sentRate})
	}
	return out, nil
}

// configurePlatform writes the demonstration's configuration as the document that
// the platform's operators maintain.
func (f *Fleet) configurePlatform() ([]load.Team, error) {
	var teams []platform.KeyedTeam
	var out []load.Team
	for _, t := range demoTeams() {
		key := rand.Text()
		teams = append(teams, platform.KeyedTeam{Team: record.Team{ID: t.name, Rate: t.rate, Burst: t.rate}, Keys: []string{key}})
		out = append(out, load.Team{Name: string(t.name), Key: key, Rate: t.sentRate})
	}
	document, err := platform.EncodeDocument(1, platformRoutes(), teams, record.CallerLimits{})
	if err != nil {
		return nil, err
	}
	return out, PutJSON(f.Store.Control, "/document", json.RawMessage(document))
}

// IssueKey issues an API key for a team and returns its secret text. It does not
// wait until the daemons have applied the key.
func (f *Fleet) IssueKey(team string) (string, error) {
	out, err := f.RunOperatorCommand("key", "issue", "--team", team, "--json", "--wait", "0")
	if err != nil {
		return "", err
	}
	var issued struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal([]byte(out), &issued); err != nil {
		return "", errors.Wrap(err, "read issued key")
	}
	return issued.Key, nil
}

// DemoPaths returns the paths that callers use in the demonstration, each with its
// share of the requests.
func DemoPaths() []load.Path {
	return []load.Path{
		{Path: "/status", Share: 0.7},
		{Path: "/bookings", OneTime: true, Share: 0.2},
		{Path: "/vouchers", OneTime: true, Share: 0.1},
	}
}

// DemoServices returns the names of the demonstration's services.
func DemoServices() []string {
	return []string{serviceStatus, serviceDispatch, serviceStores}
}

// WithPlatformHeaders returns cfg with the headers for the attempt id and the
// remaining time that callers of a platform send. An empty adapter leaves cfg
// unchanged.
func WithPlatformHeaders(cfg load.Config, adapter string) load.Config {
	if adapter != "" {
		d := platform.Adapter().Dialect
		cfg.AttemptHeader, cfg.TimeLeftHeader = d.AttemptID, d.Timeout
	}
	return cfg
}

// WriteDemoFile writes demo.json to the directory dir. The file lists all processes,
// one key for each team, and the platform's adapter. Only its owner may read it,
// because it contains the keys.
func (f *Fleet) WriteDemoFile(dir string, teams []load.Team) error {
	processes := append([]*Process{f.Store}, f.Targets...)
	processes = append(processes, f.Daemons...)
	body, err := json.MarshalIndent(struct {
		Processes []*Process  `json:"processes"`
		Teams     []load.Team `json:"teams"`
		Adapter   string      `json:"adapter,omitempty"`
	}{processes, teams, f.spec.Adapter}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "demo.json"), body, 0o600)
}

// CheckResult counts the differences between the outcomes that callers got and the
// actions that targets ran.
type CheckResult struct {
	// Doubles counts the actions that ran more than once.
	Doubles int `json:"doubles"`
	// FalseNotRun counts the actions that ran although they were refused as not
	// run.
	FalseNotRun int `json:"false_not_run"`
	// Lost counts the actions that were answered as served although no target ran
	// them.
	Lost int `json:"lost"`
	// Unknown counts the actions that ran at most once and whose outcome is
	// unknown to the caller. They are no fault.
	Unknown int `json:"unknown"`
	// KeysSeen counts the requests that reached a target with an API key.
	KeysSeen int `json:"keys_seen"`
	// MixedAnswers counts the answers that belong to another request.
	MixedAnswers int `json:"mixed_answers"`
}

// IsClean reports whether no guarantee was violated. Unknown outcomes are allowed.
func (c CheckResult) IsClean() bool {
	return c.Doubles == 0 && c.FalseNotRun == 0 && c.Lost == 0 && c.KeysSeen == 0 && c.MixedAnswers == 0
}

// CheckOutcomes reads the counts of all targets and compares them with the outcomes
// in res. It returns an error if the counts of a target cannot be read.
func (f *Fleet) CheckOutcomes(res *load.Result) (CheckResult, error) {
	runs := map[string]int{}
	check := CheckResult{MixedAnswers: res.MixedAnswers}
	for _, t := range f.Targets {
		var counts stand.TargetCounts
		if _, err := GetJSON(t.Control, "/record", &counts); err != nil {
			return check, errors.Wrapf(err, "read counts of %s", t.Name)
		}
		check.KeysSeen += counts.KeysSeen
		for action, n := range counts.Runs {
			runs[action] += n
		}
	}
	for action, final := range res.Actions {
		n := runs[action]
		switch {
		case n > 1:
			check.Doubles++
		case final == load.FinalServed && n == 0:
			check.Lost++
		case final == load.FinalNotRun && n > 0:
			check.FalseNotRun++
		case final == load.FinalUnknown:
			check.Unknown++
		}
	}
	return check, nil
}
