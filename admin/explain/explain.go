// Package explain implements the `explain` command, which reads the logs of
// several daemons and prints the events of one request in order of time, with an
// explanation of its outcome.
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

// callSeparator separates the id of a request from the suffix that identifies a
// call that its target makes to serve it, such as "b1.c7" for request "b1". The
// calls are found only if the targets name them in this way.
const callSeparator = "."

// Options holds the dependencies, arguments and flags of `explain`.
type Options struct {
	Streams cmdkit.Streams
	// ID is the id of the request to explain.
	ID string
	// Files are the log files to read. If there are none, standard input is read.
	Files []string
	JSON  bool
}

// NewCmdExplain returns the `explain` command. If runF is not nil, it is called
// with the parsed options instead of running the command.
func NewCmdExplain(f *cmdkit.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Streams: f.Streams}
	cmd := &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Explain the outcome of one request from the daemons' logs",
		Long:  "Read log files, or standard input if none is given, and print the log lines of one request in order of time,\nthe state that each daemon logged with them, and what the outcome means.",
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
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the events as a JSON list")
	return cmd
}

// event is one log line of the request, or of a call that its target made to
// serve it. Fields holds the log fields that have no field of their own here.
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
		found, err := readEvents(opts.Streams.In, opts.ID)
		if err != nil {
			return err
		}
		events = found
	}
	for _, name := range opts.Files {
		found, err := readLogFile(name, opts.ID)
		if err != nil {
			return err
		}
		events = append(events, found...)
	}
	if len(events) == 0 {
		return errors.Errorf("no log line has request id %q: check the id and that the logs cover the time of the request; only a sample of the successful requests is logged", opts.ID)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].Time < events[j].Time })
	if opts.JSON {
		return json.NewEncoder(opts.Streams.Out).Encode(events)
	}
	return printEvents(opts.Streams.Out, opts.ID, events)
}

func readLogFile(name, id string) ([]event, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "cannot open the log file: check that it exists and is readable")
	}
	defer f.Close()
	return readEvents(f, id)
}

// readEvents returns the events of one request and of the calls made to serve
// it. Text before the JSON object of a line, such as a log collector's prefix, is
// ignored, and so are lines without a valid JSON object.
func readEvents(r io.Reader, id string) ([]event, error) {
	var out []event
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(err, "cannot read the log")
		}
		if line == "" {
			return out, nil
		}
		start := strings.IndexByte(line, '{')
		if start < 0 || !strings.Contains(line, id) {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(line[start:]), &fields); err != nil {
			continue
		}
		if lineID, _ := fields["id"].(string); lineID != id && !strings.HasPrefix(lineID, id+callSeparator) {
			continue
		}
		out = append(out, newEvent(fields))
	}
}

// newEvent converts the fields of a log line to an event. It removes the fields
// that it copies, and the level and the module, from the map.
func newEvent(fields map[string]any) event {
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

// printEvents writes the events as a table, with one line for each attempt under
// its request, and then the explanation of the outcome.
func printEvents(out io.Writer, id string, events []event) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, e := range events {
		message := e.Message
		if e.ID != id {
			message += " (call " + strings.TrimPrefix(e.ID, id+callSeparator) + ")"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Time, e.Instance, message, formatFields(e.Fields))
		attempts, _ := e.Fields["steps"].([]any)
		for i, attempt := range attempts {
			fmt.Fprintf(w, "\t\t  %d.\t%v\n", i+1, attempt)
		}
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "cannot write the events")
	}
	if summary := summarize(id, events); summary != "" {
		fmt.Fprintf(out, "\n%s\n", summary)
	}
	return nil
}

// isFinal reports whether an event is an entry's log line on the end of a
// request. The messages must match those that package entry logs.
func (e event) isFinal() bool {
	return e.Message == "request refused" || e.Message == "request answered"
}

// failure reports whether a final event is a refusal or a server error. result
// is the kind of the refusal, or "status" and the HTTP status.
func (e event) failure() (result string, ok bool) {
	if kind, ok := e.Fields["kind"].(string); ok {
		return kind, true
	}
	status, _ := e.Fields["status"].(float64)
	return fmt.Sprintf("status %.0f", status), status >= http.StatusInternalServerError
}

// summarize explains the outcome of a failed request: a refusal by its kind, a
// server error by a failed call of the target or by the target itself. It returns
// "" if the request succeeded or its final event is missing.
func summarize(id string, events []event) string {
	var final *event
	failedCall := ""
	for i := range events {
		e := &events[i]
		result, failed := e.failure()
		switch {
		case !e.isFinal():
		case e.ID == id:
			final = e
		case failed && failedCall == "":
			failedCall = fmt.Sprintf("%s ended with %s", e.ID, result)
		}
	}
	if final == nil {
		return ""
	}
	result, failed := final.failure()
	switch {
	case !failed:
		return ""
	case final.Fields["kind"] != nil:
		return fmt.Sprintf("%s: %s", result, explanation(result))
	case failedCall != "":
		return fmt.Sprintf("%s: a call that the target made failed: %s; run explain with the id of that call", result, failedCall)
	default:
		return fmt.Sprintf("%s: %s", result, explanation(targetStatusKey))
	}
}

// targetStatusKey is the key in explanations for a server error that the target
// itself returned.
const targetStatusKey = "status"

// formatFields returns the fields as name=value, sorted by name. It omits "steps",
// because printEvents writes each attempt on its own line.
func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if name != "steps" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	pairs := make([]string, 0, len(names))
	for _, name := range names {
		pairs = append(pairs, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(pairs, " ")
}

// explanations maps each kind of refusal to its meaning and to what the operator
// should check next.
var explanations = map[string]string{
	"unknown_key":       "the configuration at this revision does not contain the key; compare the revision with the latest one",
	"no_route":          "no route matched the path as sent, at this revision of the configuration",
	"not_ready":         "the daemon had not loaded a configuration yet; look for 'store lost' and 'configuration in force' in its log",
	"over_rate":         "the team's share of the data centre was used up: a share_level below 1 means that the token bucket was empty; with a higher share_level, the remaining tokens went to the competing requests (share_rivals) that other daemons decided on at the same time; check the team's rate and burst",
	"slow_request":      "the request did not arrive within the time limits in force; check the caller and its network",
	"no_region":         "the allowed regions of the route and the team left no target that accepts requests; compare both records with the regions of the service's targets, and look for 'data centre evacuated' in the logs there",
	"cold":              "the targets that were tried were cold and had received all the requests that a cold target tolerates; look for 'target cold' in the logs of their instances",
	"evacuated":         "the targets that were tried are in a data centre that operators have evacuated; look for 'data centre evacuated' in the logs",
	"no_memory":         "the daemon's memory for request bodies was used up, or the caller's address or team held its whole part of it; look for 'request body given up' in its log",
	"too_large":         "the request's head or body exceeds the limits set by the operators or the daemon's built-in limits",
	"no_capacity":       "the daemon had no target of the service that accepts requests",
	"queue_full":        "the request would have waited too long at every target that was tried; the steps show how busy the targets were",
	"suspect":           "the targets that were tried were probably failing at that time; look for 'target suspect' in the logs of their instances",
	"shed":              "the target itself refused the request, and the retry budget was used up",
	"deadline_exceeded": "the time limit of the caller or the route expired; the steps show where the time was spent",
	"target_failed":     "the target refused the connection",
	"half_answer":       "the target's response was incomplete, was encoded, or belonged to another request",
	"path_failed":       "the daemon next to the target did not answer; check its log for that time",
	"malformed":         "the request could not be read or lacks what its route needs; the message of the refusal says what",
	"rate_unavailable":  "no daemon that grants tokens of the team's rate could be reached; check the holders of rate slots in 'chestnutlatch status'",
	"answer_too_large":  "the target's response is over max_answer_bytes",
	"draining":          "the target was draining",
	"ticket_required":   "the action came without a ticket and got one in the refusal",
	"ticket_invalid":    "the ticket was changed, or belongs to another team or service",
	"ticket_expired":    "the ticket was older than its time to live",
	"ticket_void":       "the ticket was withdrawn before its action ran",
	"ticket_table_full": "the daemon remembers as many one-time actions as max_tickets allows",
	"answer_dropped":    "the action ran, but its answer is no longer kept",
	"home_gone":         "the daemon that had accepted the action stopped before it answered; it is unknown whether the action ran",
	"canceled":          "the caller disconnected, or the daemon stopped",
	targetStatusKey:     "the last target in the steps returned the error itself; the suspicion in that step shows whether the target was already suspect; an idempotent request with only one step had no retry left",
}

func explanation(kind string) string {
	if m, ok := explanations[kind]; ok {
		return m
	}
	return "see docs/OPERATIONS.md"
}
