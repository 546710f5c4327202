package explain

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chestnutlatch/cmdkit"
	"chestnutlatch/fault"
)

const entryLog = `plain text of a collector
  17.3 node-1 {"@level":"info","@message":"request refused","@timestamp":"2026-01-01T00:00:02Z","id":"a1","instance":"i1","kind":"suspect","outcome":"not_run","revision":7,"steps":["t1@i2(0.90,far 0 suspicion 0.91 busy 0.25 age 12)=suspect/2ms"],"took_ms":3}
{"@level":"info","@message":"request refused","@timestamp":"2026-01-01T00:00:02Z","id":"a2","instance":"i1","kind":"over_rate"}
{"@message":"broken","id":"a1"
`

const guardLog = `{"@level":"info","@message":"target failed a request","@timestamp":"2026-01-01T00:00:01Z","id":"a1","instance":"i2","target":"t1","status":500,"suspicion":0.91}
`

const nestedCallLog = `{"@level":"info","@message":"request answered","@timestamp":"2026-01-01T00:00:03Z","id":"b1","instance":"i1","status":500,"steps":["t1@i2(0.10)=500/9ms"]}
{"@level":"info","@message":"request answered","@timestamp":"2026-01-01T00:00:02Z","id":"b1.c7","instance":"i2","status":500}
{"@level":"info","@message":"request answered","@timestamp":"2026-01-01T00:00:03Z","id":"b2","instance":"i1","status":500,"steps":["t1@i2(0.10)=500/9ms"]}
{"@level":"info","@message":"target failed a request","@timestamp":"2026-01-01T00:00:04Z","id":"b2","instance":"i2","status":500}
{"@level":"info","@message":"request answered","@timestamp":"2026-01-01T00:00:03Z","id":"b3","instance":"i1","status":200}
{"@level":"info","@message":"request answered","@timestamp":"2026-01-01T00:00:03Z","id":"b33","instance":"i1","status":500}
`

func TestExplain(t *testing.T) {
	dir := t.TempDir()
	entryFile, guardFile := filepath.Join(dir, "entry.log"), filepath.Join(dir, "guard.log")
	for name, content := range map[string]string{entryFile: entryLog, guardFile: guardLog} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	tests := []struct {
		name    string
		opts    Options
		stdin   string
		want    []string // in this order in the output
		wantErr string
	}{
		{"files merged in order of time", Options{ID: "a1", Files: []string{entryFile, guardFile}}, "", []string{
			"target failed a request", "request refused", "t1@i2(0.90", "suspect: the targets that were tried were probably failing",
		}, ""},
		{"standard input", Options{ID: "a2"}, entryLog, []string{"over_rate: the team's share"}, ""},
		{"JSON output", Options{ID: "a1", JSON: true}, guardLog, []string{`"instance":"i2"`, `"suspicion":0.91`}, ""},
		{"failed call made by the target", Options{ID: "b1"}, nestedCallLog, []string{
			"request answered (call c7)", "status 500: a call that the target made failed: b1.c7 ended with status 500",
		}, ""},
		{"server error from the target", Options{ID: "b2"}, nestedCallLog, []string{"target failed a request", "status 500: the last target in the steps"}, ""},
		{"successful request has no explanation", Options{ID: "b3"}, nestedCallLog, []string{"status=200\n"}, ""},
		{"unknown request id", Options{ID: "a"}, entryLog, nil, "no log line has request id"},
		{"missing log file", Options{ID: "a1", Files: []string{filepath.Join(dir, "none")}}, "", nil, "check that it exists and is readable"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			tt.opts.Streams = cmdkit.Streams{In: strings.NewReader(tt.stdin), Out: &out}
			err := explainRun(&tt.opts)
			if (err != nil) != (tt.wantErr != "") || err != nil && !strings.Contains(err.Error(), tt.wantErr) {
				t.Fatalf("error is %v, want %q", err, tt.wantErr)
			}
			offset := 0
			for _, want := range tt.want {
				i := strings.Index(out.String()[offset:], want)
				if i < 0 {
					t.Fatalf("%q is missing or out of order in\n%s", want, out.String())
				}
				offset += i
			}
		})
	}
}

// TestEveryRefusalIsExplained checks that operators get an explanation for each kind.
func TestEveryRefusalIsExplained(t *testing.T) {
	for _, k := range fault.KindValues() {
		if explanations[k.String()] == "" {
			t.Errorf("%s has no explanation", k)
		}
	}
}

// TestLongLinesAreRead covers a log line of several megabytes before the line that is
// looked for, and a last line without a line feed.
func TestLongLinesAreRead(t *testing.T) {
	log := `{"id":"other","@message":"` + strings.Repeat("x", 3<<20) + "\"}\n" + `{"id":"a1","@message":"request refused"}`
	events, err := readEvents(strings.NewReader(log), "a1")
	if err != nil || len(events) != 1 {
		t.Errorf("got %d events, error %v", len(events), err)
	}
}
