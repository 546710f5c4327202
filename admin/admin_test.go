package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"chestnutlatch/admin/audit"
	"chestnutlatch/admin/config"
	"chestnutlatch/admin/keys"
	"chestnutlatch/admin/route"
	"chestnutlatch/admin/status"
	"chestnutlatch/admin/svcs"
	"chestnutlatch/admin/target"
	"chestnutlatch/admin/team"
	"chestnutlatch/clock"
	"chestnutlatch/cmdkit"
	"chestnutlatch/daemon"
	"chestnutlatch/stand"
	"chestnutlatch/store"
)

// desk is an operator at a store in memory.
type desk struct {
	mem *stand.Memory
	in  string
}

// run runs one command line and returns what it wrote.
func (d *desk) run(line string) (out, messages string, err error) {
	var o, e bytes.Buffer
	f := &cmdkit.Factory{
		Streams: cmdkit.Streams{In: strings.NewReader(d.in), Out: &o, Err: &e},
		Clock:   clock.NewManual(1),
		Store:   func() (store.Store, error) { return d.mem, nil },
		Who:     func() string { return "op" },
	}
	root := &cobra.Command{Use: "chestnutlatch", SilenceErrors: true, SilenceUsage: true}
	root.AddCommand(route.NewCmdRoute(f), team.NewCmdTeam(f), keys.NewCmdKey(f), target.NewCmdTarget(f),
		svcs.NewCmdService(f), config.NewCmdConfig(f), audit.NewCmdAudit(f, nil), status.NewCmdStatus(f, nil))
	root.SetArgs(strings.Fields(line))
	root.SetOut(&o)
	root.SetErr(&e)
	err = root.ExecuteContext(context.Background())
	return o.String(), e.String(), err
}

func newDesk(t *testing.T, lines ...string) *desk {
	t.Helper()
	d := &desk{mem: stand.NewMemory(clock.NewManual(1))}
	for _, l := range lines {
		if _, _, err := d.run(l); err != nil {
			t.Fatalf("%s: %v", l, err)
		}
	}
	return d
}

const withTeam = "team set fundi --rate 50 --burst 100 --wait 0"

func TestCommands(t *testing.T) {
	tests := []struct {
		name    string
		before  []string
		line    string
		in      string
		want    string
		wantErr string
	}{
		{name: "team set and list", before: []string{withTeam}, line: "team list", want: "fundi\t50\t100\t1\n"},
		{name: "a flag not given keeps its value", before: []string{withTeam, "team set fundi --rate 60 --wait 0"}, line: "team get fundi", want: "fundi\t60\t100\t1\n"},
		{name: "team without rate", line: "team set fundi --wait 0", wantErr: "use 1 to 1000000 requests per second"},
		{name: "unknown team", line: "team get nobody", wantErr: "look at `chestnutlatch team list`"},
		{name: "dry run writes nothing", before: []string{withTeam, "team set fundi --rate 70 --dry-run"}, line: "team get fundi", want: "fundi\t50\t100\t1\n"},
		{name: "key for no team", line: "key issue --team nobody --wait 0", wantErr: "create it with"},
		{name: "key without team", line: "key issue", wantErr: "--team"},
		{name: "team with keys stays", before: []string{withTeam, "key issue --team fundi --wait 0"}, line: "team delete fundi --wait 0", wantErr: "withdraw its keys first"},
		{name: "withdraw an unknown key", line: "key withdraw abc --wait 0", wantErr: "does not exist"},
		{
			name: "route", before: []string{"route set v --prefix /v --service s --one-time --priority high --wait 0"},
			line: "route list", want: "v\t\t/v\ts\thigh\ttrue\tfalse\t10000\n",
		},
		{name: "route in schema 1", before: []string{"route set v --prefix /v --service s --schema 1 --wait 0"}, line: "route get v", want: "v\t\t/v\ts\tnormal\tfalse\tfalse\t10000\n"},
		{name: "two routes for one match", before: []string{"route set v --prefix /v --service s --wait 0"}, line: "route set w --prefix /v --service s --wait 0", wantErr: "same host and prefix"},
		{name: "bad priority", line: "route set v --prefix /v --service s --priority urgent --wait 0", wantErr: "low, normal or high"},
		{name: "bad schema", line: "team set x --schema 9", wantErr: "use 1 or 2"},
		{name: "drain and restore", before: []string{"target drain t --wait 0", "target restore t --wait 0"}, line: "target list", want: "t\tfalse\n"},
		{name: "service", before: []string{"service set s --floor 70 --wait 0"}, line: "service get s", want: "s\t70\n"},
		{name: "history", before: []string{withTeam, "team delete fundi --wait 0"}, line: "config history", want: "1\t1970-01-01T00:00:00Z\top\tset\tteam\tfundi\n2\t1970-01-01T00:00:00Z\top\tremoved\tteam\tfundi\n"},
		{name: "audit by kind", before: []string{withTeam}, line: "audit --kind route --json", want: "[]\n"},
		{name: "audit of an unknown kind", line: "audit --kind thing", wantErr: "use team, key, route, target or service"},
		{
			name: "apply keeps unknown fields", line: "config apply -f - --wait 0",
			in: `[{"kind":"team","id":"x","record":{"schema":2,"limit":{"rate_per_second":5,"burst":9},"later":true}}]`,
		},
		{name: "apply lists every fault", line: "config apply -f - --wait 0", in: `[{"kind":"team","id":"x","record":{"schema":2}},{"kind":"team","id":"y","record":{"schema":7}}]`, wantErr: "item 2"},
		{name: "apply of no list", line: "config apply -f -", in: "{", wantErr: "not a JSON list"},
		{name: "snapshot dry run", before: []string{withTeam, "config snapshot --dry-run"}, line: "team list", want: "fundi\t50\t100\t1\n"},
		{name: "snapshot", before: []string{withTeam, "config snapshot"}, line: "team list", want: "fundi\t50\t100\t1\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDesk(t, tt.before...)
			d.in = tt.in
			out, _, err := d.run(tt.line)
			if (err != nil) != (tt.wantErr != "") || err != nil && !strings.Contains(err.Error(), tt.wantErr) {
				t.Fatalf("error is %v, want %q", err, tt.wantErr)
			}
			if tt.wantErr == "" && out != tt.want {
				t.Errorf("wrote %q, want %q", out, tt.want)
			}
		})
	}
}

func TestIssuedKeyIsStoredAsHash(t *testing.T) {
	d := newDesk(t, withTeam)
	out, _, err := d.run("key issue --team fundi --json --wait 0")
	if err != nil {
		t.Fatal(err)
	}
	var k struct{ ID, Key string }
	if err := json.Unmarshal([]byte(out), &k); err != nil || k.Key == "" {
		t.Fatalf("wrote %q (%v)", out, err)
	}
	entries, _, err := d.mem.List(context.Background(), "", "", 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if strings.Contains(string(e.Value), k.Key) {
			t.Errorf("store key %s holds the key itself", e.Key)
		}
	}
}

func TestExportApplies(t *testing.T) {
	d := newDesk(t, withTeam, "route set v --prefix /v --service s --wait 0", "service set s --wait 0")
	out, _, err := d.run("config export")
	if err != nil {
		t.Fatal(err)
	}
	fresh := newDesk(t)
	fresh.in = out
	if _, _, err := fresh.run("config apply -f - --wait 0"); err != nil {
		t.Fatal(err)
	}
	again, _, err := fresh.run("config export")
	if err != nil || again != out {
		t.Errorf("export after apply is %q (%v), want %q", again, err, out)
	}
}

// TestAccepted waits for the data centres' reports.
func TestAccepted(t *testing.T) {
	tests := []struct {
		name    string
		report  daemon.Report
		missing bool
	}{
		{"in force", daemon.Report{DataCentre: "dc", InForce: 1, At: 1}, false},
		{"behind", daemon.Report{DataCentre: "dc", InForce: 0, At: 1}, true},
		{"members not heard", daemon.Report{DataCentre: "dc", InForce: 1, Silent: 1, At: 1}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDesk(t)
			b, err := json.Marshal(tt.report)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := d.mem.Swap(context.Background(), daemon.ReportPrefix+"dc", store.Absent, b, store.NoLease); err != nil {
				t.Fatal(err)
			}
			_, _, err = d.run("team set fundi --rate 50 --burst 100 --wait 50ms")
			var notYet *cmdkit.NotYetError
			if errors.As(err, &notYet) != tt.missing {
				t.Errorf("error is %v, want NotYetError %v", err, tt.missing)
			}
		})
	}
}

func TestRootListsEveryCommand(t *testing.T) {
	var out bytes.Buffer
	cmd := NewCmdRoot(cmdkit.Streams{Out: &out, Err: &out})
	cmd.SetArgs([]string{"--help"})
	if err := cmd.Execute(); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"serve", "route", "team", "key", "target", "service", "config", "audit", "status"} {
		if !strings.Contains(out.String(), "\n  "+name+" ") {
			t.Errorf("help does not list %s", name)
		}
	}
}
