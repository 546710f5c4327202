// Package explain is the `explain` command, which reads the logs of several
// daemons and tells what became of one request.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
)

// callMark stands between the id of a request and that of a call that its
// target makes for it, where callers name them so.
const callMark = "."

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// Options are the dependencies and flags of `explain`.
type Options struct {
	Streams cmdkit.Streams
	ID      string
	Files   []string
	JSON    bool
}

// NewCmdExplain returns the `explain` command.
func NewCmdExplain(f *cmdkit.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Streams: f.Streams}
	cmd := &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Tell what became of one request, from the logs of daemons",
		Long:  "Reads log files, or standard input if none is named, and prints the lines of one request in order of time,\nwhat each daemon believed then, and what the outcome means.",
		Example: `  chestnutlatch explain 9c41d07be2a35f68 /var/log/chestnutlatch/*.log
  journalctl -u chestnutlatch -o cat | chestnutlatch explain 9c41d07be2a35f68 --json`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.ID, opts.Files = args[0], args[1:]
			if runF != nil {
				return runF(opts)
			}
			return explainRun(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the lines as a JSON list")
	return cmd
}

// event is one log line of the request, or of a call that its target made.
type event struct {
	ID       string         `json:"id"`
	Time     string         `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

func explainRun(opts *Options) error {
	var events []event
	if len(opts.Files) == 0 {
		found, err := read(opts.Streams.In, opts.ID)
		if err != nil {
			return err
		}
		events = found
	}
	for _, name := range opts.Files {
		found, err := readFile(name, opts.ID)
		if err != nil {
			return err
		}
		events = append(events, found...)
	}
	if len(events) == 0 {
		return errors.Errorf("no line names request %q: check the id, and that the logs cover its time; plain successes are sampled", opts.ID)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].Time < events[j].Time })
	if opts.JSON {
		return json.NewEncoder(opts.Streams.Out).Encode(events)
	}
	return show(opts.Streams.Out, opts.ID, events)
}

func readFile(name, id string) ([]event, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "log file: name a readable one")
	}
	defer f.Close()
	return read(f, id)
}

// read takes the lines of one request. What stands before the JSON of a line,
// such as a collector's prefix, is passed over.
func read(r io.Reader, id string) ([]event, error) {
	var out []event
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		line := s.Text()
		start := strings.IndexByte(line, '{')
		if start < 0 || !strings.Contains(line, id) {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(line[start:]), &fields); err != nil {
			continue
		}
		if got, _ := fields["id"].(string); got != id && !strings.HasPrefix(got, id+callMark) {
			continue
		}
		out = append(out, toEvent(fields))
	}
	if err := s.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	return out, nil
}

func toEvent(fields map[string]any) event {
	e := event{Fields: fields}
	e.ID, _ = fields["id"].(string)
	e.Time, _ = fields["@timestamp"].(string)
	e.Instance, _ = fields["instance"].(string)
	e.Message, _ = fields["@message"].(string)
	for _, name := range []string{"@timestamp", "@message", "@level", "@module", "instance", "id"} {
		delete(fields, name)
	}
	return e
}

func show(out io.Writer, id string, events []event) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, e := range events {
		message := e.Message
		if e.ID != id {
			message += " (call " + strings.TrimPrefix(e.ID, id+callMark) + ")"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Time, e.Instance, message, plain(e.Fields))
		steps, _ := e.Fields["steps"].([]any)
		for i, step := range steps {
			fmt.Fprintf(w, "\t\t  %d.\t%v\n", i+1, step)
		}
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write")
	}
	if word := verdict(id, events); word != "" {
		fmt.Fprintf(out, "\n%s\n", word)
	}
	return nil
}

// isEnd reports whether an event is an entry's word on how a request ended.
func (e event) isEnd() bool {
	return e.Message == "request refused" || e.Message == "request answered"
}

// failed reports whether an end is a refusal or a server error, and names it.
func (e event) failed() (word string, ok bool) {
	if kind, ok := e.Fields["kind"].(string); ok {
		return kind, true
	}
	status, _ := e.Fields["status"].(float64)
	return fmt.Sprintf("status %.0f", status), status >= http.StatusInternalServerError
}

// verdict says what the end of the request means: a refusal's kind, or why its
// target failed it.
func verdict(id string, events []event) string {
	var end *event
	call := ""
	for i := range events {
		e := &events[i]
		word, failed := e.failed()
		switch {
		case !e.isEnd():
		case e.ID == id:
			end = e
		case failed && call == "":
			call = fmt.Sprintf("%s ended with %s", e.ID, word)
		}
	}
	if end == nil {
		return ""
	}
	word, failed := end.failed()
	switch {
	case !failed:
		return ""
	case end.Fields["kind"] != nil:
		return fmt.Sprintf("%s: %s", word, meaning(word))
	case call != "":
		return fmt.Sprintf("%s: a call that the target made failed: %s; explain it by its id", word, call)
	default:
		return fmt.Sprintf("%s: %s", word, meaning(statusFromTarget))
	}
}

// statusFromTarget is the meaning of a server error of the target's own.
const statusFromTarget = "status"

// plain writes the fields without the steps, which have lines of their own.
func plain(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if name != "steps" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}

// meanings tell an operator what a kind of refusal says and where to look.
var meanings = map[string]string{
	"unknown_key":       "no configuration at this revision holds the key; compare the revision with the newest one",
	"no_route":          "no route matched the path as sent at this revision",
	"not_ready":         "the daemon had no configuration yet; look for 'store lost' and 'configuration in force' there",
	"over_rate":         "the team's part of the data centre was used up: a share_level under 1 is an empty bucket, over it the rest went to share_rivals that other daemons decided on at the same time; see the team's rate and burst",
	"slow_request":      "the request did not arrive within the limits in force; look at the caller's side",
	"too_large":         "head or body is over the operators' limits or the daemon's own",
	"no_capacity":       "no target of the service was known that takes work",
	"queue_full":        "every target asked would have let the request wait too long; the steps show how busy they were",
	"suspect":           "the targets asked probably failed at that time; look for 'target suspect' on their instances",
	"shed":              "the target itself refused the request and the retry budget was used up",
	"deadline_exceeded": "the time of the caller or the route was over; the steps show where it went",
	"target_failed":     "the target refused the connection",
	"half_answer":       "the target's answer broke off, was encoded or belonged to another request",
	"path_failed":       "the daemon beside the target did not answer; look at its log at that time",
	"draining":          "the target was leaving",
	"home_gone":         "the daemon that had taken the action ended before it answered: whether it ran is unknown",
	"canceled":          "the caller left, or the daemon stopped",
	statusFromTarget:    "the last target of the steps failed it itself; its suspicion there tells whether that was known before, and one step of an idempotent request that no retry was left",
}

func meaning(kind string) string {
	if m, ok := meanings[kind]; ok {
		return m
	}
	return "see docs/OPERATIONS.md"
}
