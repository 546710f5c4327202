// Package setup reads and checks a daemon's settings. The file is INI; every
// fault is reported in one go with its section, key, value and remedy.
package setup

import (
	"fmt"
	"net"
	"sort"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/ini.v1"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// targetPrefix starts the section name of a local target.
const targetPrefix = "target."

// Rates says how the data centres share the teams' rates.
type Rates struct {
	// Parts is the number of data centres.
	Parts int
	// Window is the span over which a team's excess is bounded, in
	// milliseconds.
	Window clock.Millis
	// Overshoot is the part, and Slack the number, of a window's requests that
	// a team may exceed its rate and burst by.
	Overshoot float64
	Slack     float64
}

// Retries bounds the retries of the whole fleet at one service.
type Retries struct {
	// Part is the number of retries for each request in a window.
	Part float64
	// Slack is the number of retries in a window on top.
	Slack float64
	// Window is the span that the bound is for, in milliseconds.
	Window clock.Millis
}

// Target is one local target from the settings.
type Target struct {
	ID      ident.Target
	Service ident.Service
	Address string
	Slots   int
}

// Settings is a daemon's checked configuration file.
type Settings struct {
	Instance   ident.Instance
	DataCentre ident.DataCentre
	Region     ident.Region
	// CallerAddress serves callers over HTTP.
	CallerAddress string
	// InnerAddress serves the inner protocol over TCP.
	InnerAddress string
	// MemberAddress serves the membership over UDP.
	MemberAddress string
	// OperatorAddress serves metrics, health and announcements.
	OperatorAddress string
	// FleetSecret is shared by all daemons, at least 16 bytes.
	FleetSecret string
	LogLevel    hclog.Level
	LogJSON     bool
	// LogLines and LogBytes bound the log, each second.
	LogLines int
	LogBytes int
	// LogSample logs one in so many answered requests, chosen by id so that
	// all daemons keep the same ones; 0 logs none.
	LogSample int

	// Adapter names the platform's interface; empty is the product's own.
	Adapter string
	// ReadyAddress answers whether callers may come, AnnounceAddress takes the
	// heartbeats of targets. Both are used with an Adapter only.
	ReadyAddress    string
	AnnounceAddress string
	// Service is the service beside this daemon.
	Service ident.Service
	// BeatEvery is the time between two heartbeats of a target, in
	// milliseconds.
	BeatEvery clock.Millis
	// LeaveTime is how long a target that leaves still serves, in milliseconds.
	LeaveTime clock.Millis
	Rates     Rates
	Retries   Retries

	StoreAddress string
	// Seeds are member addresses for the first contact while the store is
	// away.
	Seeds []string

	// QueueLimit is the number of requests that may wait for one target.
	QueueLimit      int
	MaxRequestBytes int
	MaxAnswerBytes  int
	// ReadTimeout bounds the reading of one request, in milliseconds.
	ReadTimeout clock.Millis
	// MaxCallers bounds the open connections of callers.
	MaxCallers int

	// TicketTTL is how long a ticket can be used, in milliseconds.
	TicketTTL     clock.Millis
	MaxTickets    int
	KeptBytes     int
	RateSlots     int
	RateLease     clock.Millis
	StopTimeout   clock.Millis
	CallerCert    string
	CallerKey     string
	InnerCert     string
	InnerKey      string
	InnerCA       string
	Targets       []Target
	MemoryLimitMB int
}

// Problem is one fault of the settings.
type Problem struct {
	Section string
	Key     string
	Value   string
	Remedy  string
}

// InvalidError lists all faults of a settings file.
type InvalidError struct {
	File     string
	Problems []Problem
}

// Error lists the faults, a line each.
func (e *InvalidError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings file %s has %d faults:", e.File, len(e.Problems))
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  [%s] %s = %q: %s", p.Section, p.Key, p.Value, p.Remedy)
	}
	return b.String()
}

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	f, err := ini.Load(file)
	if err != nil {
		return nil, errors.Wrapf(err, "settings file %s: give a readable INI file with --config", file)
	}
	return parse(file, f)
}

// Parse reads and checks settings from memory.
func Parse(b []byte) (*Settings, error) {
	f, err := ini.Load(b)
	if err != nil {
		return nil, errors.Wrap(err, "settings are not INI")
	}
	return parse("(memory)", f)
}

func parse(name string, f *ini.File) (*Settings, error) {
	r := &reader{file: f, read: map[string]bool{}}
	s := &Settings{}
	readDaemon(r, s)
	readBounds(r, s)
	readTLS(r, s)
	readTargets(r, s)
	readPlatform(r, s)
	r.reportUnknown()
	if len(r.problems) > 0 {
		return nil, &InvalidError{File: name, Problems: r.problems}
	}
	return s, nil
}

func readDaemon(r *reader, s *Settings) {
	s.Instance = ident.Instance(r.id("daemon", "instance"))
	s.DataCentre = ident.DataCentre(r.id("daemon", "data_centre"))
	s.Region = ident.Region(r.id("daemon", "region"))
	s.CallerAddress = r.address("daemon", "caller_address")
	s.InnerAddress = r.address("daemon", "inner_address")
	s.MemberAddress = r.address("daemon", "member_address")
	s.OperatorAddress = r.address("daemon", "operator_address")
	s.FleetSecret = r.text("daemon", "fleet_secret", "")
	if len(s.FleetSecret) < 16 && !r.flag("daemon", "trust_network", false) {
		r.problem("daemon", "fleet_secret", "(hidden)", "give at least 16 characters, alike on every daemon")
	}
	level := r.text("daemon", "log_level", "info")
	s.LogLevel = hclog.LevelFromString(level)
	if s.LogLevel == hclog.NoLevel {
		r.problem("daemon", "log_level", level, "use trace, debug, info, warn or error")
	}
	s.LogJSON = r.flag("daemon", "log_json", true)
	s.LogLines = r.number("daemon", "log_lines_per_s", 200, 1, 1_000_000)
	s.LogBytes = r.number("daemon", "log_bytes_per_s", 100_000, 1000, 1<<30)
	s.LogSample = r.number("daemon", "log_sample", 64, 0, 1<<30)
	s.StopTimeout = clock.Millis(r.number("daemon", "stop_timeout_ms", 15_000, 1000, 600_000))
	s.MemoryLimitMB = r.number("daemon", "memory_limit_mb", 256, 16, 65_536)
	s.StoreAddress = r.address("store", "address")
	for _, seed := range strings.Split(r.text("peers", "seeds", ""), ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			s.Seeds = append(s.Seeds, seed)
			r.checkAddress("peers", "seeds", seed)
		}
	}
}

// readPlatform reads what a daemon on a platform with its own interface needs.
func readPlatform(r *reader, s *Settings) {
	s.Adapter = r.text("platform", "adapter", "")
	s.Rates.Parts = len(strings.Split(r.text("rate", "data_centres", ""), ","))
	s.Rates.Window = clock.Millis(r.number("rate", "window_s", 5, 1, 3600)) * clock.Second
	s.Rates.Overshoot = r.fraction("rate", "overshoot", 0)
	s.Rates.Slack = r.fraction("rate", "slack", 0)
	s.Retries.Part = r.fraction("retry", "part", 0.1)
	s.Retries.Slack = r.fraction("retry", "slack", 10)
	s.Retries.Window = clock.Millis(r.number("retry", "window_s", 10, 1, 3600)) * clock.Second
	s.LeaveTime = clock.Millis(r.number("platform", "leave_ms", 2000, 100, 600_000))
	s.BeatEvery = clock.Millis(r.number("platform", "heartbeat_ms", 1000, 10, 600_000))
	if s.Adapter == "" {
		return
	}
	if s.Adapter != AdapterKV {
		r.problem("platform", "adapter", s.Adapter, "use "+AdapterKV+" or leave it empty")
	}
	s.ReadyAddress = r.address("platform", "ready_address")
	s.AnnounceAddress = r.address("platform", "announce_address")
	s.Service = ident.Service(r.id("platform", "service"))
}

// AdapterKV is the adapter of the platform whose store speaks HTTP.
const AdapterKV = "kv"

func readBounds(r *reader, s *Settings) {
	s.QueueLimit = r.number("limits", "queue_per_target", 64, 1, 100_000)
	s.MaxRequestBytes = r.number("limits", "max_request_bytes", 1<<20, 1024, 16<<20)
	s.MaxAnswerBytes = r.number("limits", "max_answer_bytes", 4<<20, 1024, 16<<20)
	s.ReadTimeout = clock.Millis(r.number("limits", "read_timeout_ms", 10_000, 100, 600_000))
	s.MaxCallers = r.number("limits", "max_callers", 4096, 1, 1_000_000)
	s.TicketTTL = clock.Millis(r.number("tickets", "ttl_s", 600, 5, 86_400)) * clock.Second
	s.MaxTickets = r.number("tickets", "max_open", 65_536, 16, 10_000_000)
	s.KeptBytes = r.number("tickets", "kept_answer_bytes", 4<<20, 1024, 1<<30)
	s.RateSlots = r.number("rate", "slots", 48, 1, 65_536)
	s.RateLease = clock.Millis(r.number("rate", "lease_minutes", 360, 1, 10_080)) * clock.Minute
}

func readTLS(r *reader, s *Settings) {
	s.CallerCert = r.text("tls", "caller_cert", "")
	s.CallerKey = r.text("tls", "caller_key", "")
	s.InnerCert = r.text("tls", "inner_cert", "")
	s.InnerKey = r.text("tls", "inner_key", "")
	s.InnerCA = r.text("tls", "inner_ca", "")
	if (s.CallerCert == "") != (s.CallerKey == "") {
		r.problem("tls", "caller_key", s.CallerKey, "give caller_cert and caller_key together, or neither")
	}
	if (s.InnerCert == "") != (s.InnerKey == "") || (s.InnerCert == "") != (s.InnerCA == "") {
		r.problem("tls", "inner_ca", s.InnerCA, "give inner_cert, inner_key and inner_ca together, or none")
	}
}

func readTargets(r *reader, s *Settings) {
	for _, section := range r.file.SectionStrings() {
		if !strings.HasPrefix(section, targetPrefix) {
			continue
		}
		t := Target{ID: ident.Target(strings.TrimPrefix(section, targetPrefix))}
		t.Service = ident.Service(r.id(section, "service"))
		t.Address = r.address(section, "address")
		t.Slots = r.number(section, "slots", 1, 1, 100_000)
		s.Targets = append(s.Targets, t)
	}
}

// reader collects the faults while it reads.
type reader struct {
	file     *ini.File
	read     map[string]bool
	problems []Problem
}

func (r *reader) problem(section, key, value, remedy string) {
	r.problems = append(r.problems, Problem{Section: section, Key: key, Value: value, Remedy: remedy})
}

func (r *reader) text(section, key, fallback string) string {
	r.read[section+"."+key] = true
	if !r.file.HasSection(section) || !r.file.Section(section).HasKey(key) {
		return fallback
	}
	return r.file.Section(section).Key(key).String()
}

func (r *reader) id(section, key string) string {
	v := r.text(section, key, "")
	if v == "" || len(v) > 64 || strings.ContainsAny(v, " ~/\t") {
		r.problem(section, key, v, "give a name of 1 to 64 characters without spaces, '~' and '/'")
	}
	return v
}

func (r *reader) address(section, key string) string {
	v := r.text(section, key, "")
	r.checkAddress(section, key, v)
	return v
}

func (r *reader) checkAddress(section, key, v string) {
	host, port, err := net.SplitHostPort(v)
	n, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || net.ParseIP(host) == nil || n < 1 || n > 65_535 {
		r.problem(section, key, v, "give an IP number and a port, such as 127.0.0.1:8080")
	}
}

func (r *reader) number(section, key string, fallback, low, high int) int {
	v := r.text(section, key, "")
	if v == "" {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		r.problem(section, key, v, fmt.Sprintf("give a whole number from %d to %d", low, high))
	}
	return n
}

// fraction reads a number of at least 0, with or without decimals.
func (r *reader) fraction(section, key string, fallback float64) float64 {
	v := r.text(section, key, "")
	if v == "" {
		return fallback
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 || n > 1e9 {
		r.problem(section, key, v, "give a number of at least 0, such as 0.2")
	}
	return n
}

func (r *reader) flag(section, key string, fallback bool) bool {
	v := r.text(section, key, "")
	if v == "" {
		return fallback
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.problem(section, key, v, "give true or false")
	}
	return b
}

func (r *reader) reportUnknown() {
	for _, section := range r.file.Sections() {
		for _, key := range section.KeyStrings() {
			if !r.read[section.Name()+"."+key] {
				r.problem(section.Name(), key, section.Key(key).String(), "remove it or mend its spelling")
			}
		}
	}
	sort.SliceStable(r.problems, func(i, j int) bool { return r.problems[i].Section < r.problems[j].Section })
}
