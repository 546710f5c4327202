// Package setup reads and validates a daemon's INI settings file. It reports all
// problems of a file together, each with its section, key, value and remedy. The
// serve command and the command that checks a settings file call it.
package setup

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/ini.v1"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// targetPrefix is the prefix of a local target's section name.
const targetPrefix = "target."

// RateSharing configures how the data centres share the teams' rates.
type RateSharing struct {
	// DataCentres is the number of data centres that share a rate, at least 1.
	DataCentres int
	// Window is the period over which a team's excess is limited, in
	// milliseconds.
	Window clock.Millis
	// Overshoot and Slack limit how far a team may exceed its rate and burst in
	// a window: Overshoot as a fraction of the allowed requests, Slack as an
	// additional number of requests.
	Overshoot float64
	Slack     float64
}

// RetryLimits limits the retries that the whole fleet sends to one service.
type RetryLimits struct {
	// PerRequest is the number of retries allowed per request in a window.
	PerRequest float64
	// Slack is the additional number of retries allowed in a window.
	Slack float64
	// Window is the period of the limit, in milliseconds.
	Window clock.Millis
	// Reserve is the share of the saved retries that look-ups leave for one-time
	// requests and for calls of running requests, 0 to 1.
	Reserve float64
	// ShedAttempts is the number of targets that a request may try beyond the attempts
	// of its route if as many targets refuse it.
	ShedAttempts int
}

// ColdBound limits the requests that reach a cold target in any one second.
type ColdBound struct {
	// Overshoot is the factor of the service's cold rate up to which requests are sent.
	Overshoot float64
	// Slack is the number of requests that may arrive above that, because requests arrive
	// closer together than they were sent.
	Slack float64
}

// Target is one local target from the settings.
type Target struct {
	ID      ident.Target
	Service ident.Service
	// Address is the target's ip:port.
	Address string
	// Slots is the number of requests that the target processes at once.
	Slots int
}

// Settings holds the values of a valid settings file. All addresses are ip:port.
type Settings struct {
	Instance   ident.Instance
	DataCentre ident.DataCentre
	Region     ident.Region
	// CallerAddress is the HTTP address for callers.
	CallerAddress string
	// InnerAddress is the TCP address of the inner protocol between daemons.
	InnerAddress string
	// MemberAddress is the UDP address of the membership protocol.
	MemberAddress string
	// OperatorAddress is the HTTP address for metrics, health checks, status and
	// the targets' announcements.
	OperatorAddress string
	// FleetSecret is the secret that all daemons share, at least 16 bytes. It
	// may be shorter only if trust_network is set.
	FleetSecret string
	LogLevel    hclog.Level
	LogJSON     bool
	// LogLines and LogBytes are the maximum average lines and bytes per second
	// of the log.
	LogLines int
	LogBytes int
	// LogSample is the sampling interval of answered requests: one in
	// LogSample is logged; 0 logs none. The request id decides which, because
	// then all daemons log the same requests.
	LogSample int

	// Adapter is the name of the platform adapter; empty selects the product's
	// own interface.
	Adapter string
	// ReadyAddress serves readiness checks, and AnnounceAddress receives the
	// heartbeats of targets. Both are empty without an adapter.
	ReadyAddress    string
	AnnounceAddress string
	// Service is the service of the targets beside this daemon. It is empty
	// without an adapter.
	Service ident.Service
	// HeartbeatInterval is the interval between a target's heartbeats, in
	// milliseconds.
	HeartbeatInterval clock.Millis
	// DrainTime is how long a draining target continues to serve requests, in
	// milliseconds.
	DrainTime clock.Millis
	Rates     RateSharing
	Retries   RetryLimits
	Cold      ColdBound

	StoreAddress string
	// Watchers is the number of daemons of a data centre that watch the configuration in
	// the store, with an adapter; 0 means all.
	Watchers int
	// Seeds are the member addresses of daemons that this daemon contacts to find
	// its peers. With an adapter, it contacts them only while the store is
	// unavailable and it has no member in another data centre.
	Seeds []string

	// SilentAfter is the time without a load report after which the targets of a daemon
	// are avoided, in milliseconds; 0 ignores silence.
	SilentAfter clock.Millis
	// Hedge sends an idempotent request to a second target if the answer of the first
	// one is overdue.
	Hedge bool
	// ShedIsNoFailure means that a request that its target refuses without running it
	// does not count as a failure of the target.
	ShedIsNoFailure bool

	// QueueLimit is the maximum number of requests that wait for one target.
	QueueLimit int
	// MaxRequestBytes and MaxAnswerBytes are the maximum body sizes of a
	// request and of an answer.
	MaxRequestBytes int
	MaxAnswerBytes  int
	// ReadTimeout is the time limit for reading one request, in milliseconds.
	ReadTimeout clock.Millis
	// WriteTimeout is the time limit for writing 64 KiB of an answer, in milliseconds.
	WriteTimeout clock.Millis
	// BodyWindow and BodyMinBytes define a stalled request body: one of which less than
	// BodyMinBytes arrive in BodyWindow, in milliseconds. It may be given up when the
	// memory for bodies is full.
	BodyWindow   clock.Millis
	BodyMinBytes int
	// BodySenderPercent is the percentage of the memory for large request bodies that
	// those from one address, or of one team, may fill.
	BodySenderPercent int
	// MaxCallers is the maximum number of open connections of callers.
	MaxCallers int

	// TicketTTL is how long a ticket is valid, in milliseconds.
	TicketTTL clock.Millis
	// MaxTickets is the maximum number of tickets that are issued and not
	// expired. With an adapter it limits the kept attempts of one-time actions.
	MaxTickets int
	// MaxKeptAnswerBytes is the maximum total size of the answers kept for
	// repeated requests.
	MaxKeptAnswerBytes int
	// RateSlots is the number of rate slots of the fleet.
	RateSlots int
	// RateLease is the duration of a rate slot's lease, in milliseconds.
	RateLease clock.Millis
	// StopTimeout is the time limit for a planned stop, in milliseconds.
	StopTimeout clock.Millis
	CallerCert  string
	CallerKey   string
	InnerCert   string
	InnerKey    string
	InnerCA     string
	Targets     []Target
	// MemoryLimitMB is the memory limit of the Go runtime, in MiB.
	MemoryLimitMB int
}

const (
	// bodyMemoryPart is the part of memory_limit_mb that request bodies may fill. The
	// copies that calls to other daemons make of them take up to twice as much.
	bodyMemoryPart = 4
	// smallBodyPart is the part of that which large bodies leave to small ones.
	smallBodyPart = 8
)

// BodyMemory returns the memory for request bodies, in bytes, and the part of it that
// large bodies leave free.
func (s *Settings) BodyMemory() (limit, reserve int64) {
	limit = int64(s.MemoryLimitMB) << 20 / bodyMemoryPart
	return limit, limit / smallBodyPart
}

// callerBufferPart is the part of memory_limit_mb that the buffers of callers' connections
// may fill.
const callerBufferPart = 8

// CallerBufferMemory returns the memory for the buffers of callers' connections, in bytes.
func (s *Settings) CallerBufferMemory() int64 {
	return int64(s.MemoryLimitMB) << 20 / callerBufferPart
}

// LargestBodyBuffers returns the memory that one body of MaxRequestBytes takes while its
// buffer grows for the last time, from half of its size.
func (s *Settings) LargestBodyBuffers() int64 { return int64(s.MaxRequestBytes)*3/2 + 1 }

// Problem is one invalid or unknown setting.
type Problem struct {
	Section string
	Key     string
	Value   string
	// Remedy says what to change.
	Remedy string
}

// InvalidError lists all problems of a settings file.
type InvalidError struct {
	File     string
	Problems []Problem
}

// Error returns a message with one line per problem.
func (e *InvalidError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings file %s has %d problems:", e.File, len(e.Problems))
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  [%s] %s = %q: %s", p.Section, p.Key, p.Value, p.Remedy)
	}
	return b.String()
}

// Load reads and validates a settings file. The error is an *InvalidError if the
// file is INI but has invalid settings.
func Load(file string) (*Settings, error) {
	f, err := ini.Load(file)
	if err != nil {
		return nil, errors.Wrapf(err, "cannot read settings file %s: set --config to a readable INI file", file)
	}
	return parse(file, f)
}

// Parse validates the content of a settings file. Its errors are those of Load.
func Parse(content []byte) (*Settings, error) {
	f, err := ini.Load(content)
	if err != nil {
		return nil, errors.Wrap(err, "settings are not a valid INI file: correct the syntax")
	}
	return parse("(memory)", f)
}

// parse validates all sections. The file name is used in errors only.
func parse(name string, f *ini.File) (*Settings, error) {
	r := &settingsReader{file: f, knownKeys: map[string]bool{}}
	s := &Settings{}
	readDaemon(r, s)
	readLimits(r, s)
	readTLS(r, s)
	readTargets(r, s)
	readPlatform(r, s)
	r.reportUnknownKeys()
	if len(r.problems) > 0 {
		return nil, &InvalidError{File: name, Problems: r.problems}
	}
	return s, nil
}

func readDaemon(r *settingsReader, s *Settings) {
	s.Instance = ident.Instance(r.name("daemon", "instance"))
	s.DataCentre = ident.DataCentre(r.name("daemon", "data_centre"))
	s.Region = ident.Region(r.name("daemon", "region"))
	s.CallerAddress = r.address("daemon", "caller_address")
	s.InnerAddress = r.address("daemon", "inner_address")
	s.MemberAddress = r.address("daemon", "member_address")
	s.OperatorAddress = r.address("daemon", "operator_address")
	s.FleetSecret = r.text("daemon", "fleet_secret", "")
	if len(s.FleetSecret) < 16 && !r.boolean("daemon", "trust_network", false) {
		r.addProblem("daemon", "fleet_secret", "(hidden)", "set the same secret of at least 16 characters on every daemon")
	}
	level := r.text("daemon", "log_level", "info")
	s.LogLevel = hclog.LevelFromString(level)
	if s.LogLevel == hclog.NoLevel {
		r.addProblem("daemon", "log_level", level, "set trace, debug, info, warn or error")
	}
	s.LogJSON = r.boolean("daemon", "log_json", true)
	s.LogLines = r.integer("daemon", "log_lines_per_s", 200, 1, 1_000_000)
	s.LogBytes = r.integer("daemon", "log_bytes_per_s", 100_000, 1000, 1<<30)
	s.LogSample = r.integer("daemon", "log_sample", 64, 0, 1<<30)
	s.StopTimeout = clock.Millis(r.integer("daemon", "stop_timeout_ms", 15_000, 1000, 600_000))
	s.MemoryLimitMB = r.integer("daemon", "memory_limit_mb", 256, 16, 65_536)
	s.StoreAddress = r.address("store", "address")
	s.Watchers = r.integer("store", "watchers", 0, 0, 1000)
	for _, seed := range strings.Split(r.text("peers", "seeds", ""), ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			s.Seeds = append(s.Seeds, seed)
			r.checkAddress("peers", "seeds", seed)
		}
	}
}

// readPlatform reads the shared limits of rates and retries and the settings of
// the platform adapter.
func readPlatform(r *settingsReader, s *Settings) {
	s.Adapter = r.text("platform", "adapter", "")
	s.Rates.DataCentres = len(strings.Split(r.text("rate", "data_centres", ""), ","))
	s.Rates.Window = clock.Millis(r.integer("rate", "window_s", 5, 1, 3600)) * clock.Second
	s.Rates.Overshoot = r.nonNegative("rate", "overshoot", 0)
	s.Rates.Slack = r.nonNegative("rate", "slack", 0)
	s.Retries.PerRequest = r.nonNegative("retry", "part", 0.1)
	s.Retries.Slack = r.nonNegative("retry", "slack", 10)
	s.Retries.Window = clock.Millis(r.integer("retry", "window_s", 10, 1, 3600)) * clock.Second
	s.SilentAfter = clock.Millis(r.integer("choice", "silent_ms", 0, 0, 600_000))
	s.Hedge = r.boolean("choice", "hedge", false)
	s.ShedIsNoFailure = !r.boolean("choice", "shed_is_failure", true)
	s.Retries.Reserve = r.fraction("retry", "reserve", 0)
	s.Retries.ShedAttempts = r.integer("retry", "shed_attempts", 0, 0, 16)
	s.Cold.Overshoot = r.nonNegative("cold", "overshoot", 1)
	s.Cold.Slack = r.nonNegative("cold", "slack", 0)
	s.DrainTime = clock.Millis(r.integer("platform", "leave_ms", 2000, 100, 600_000))
	s.HeartbeatInterval = clock.Millis(r.integer("platform", "heartbeat_ms", 1000, 10, 600_000))
	if s.Adapter == "" {
		return
	}
	if s.Adapter != AdapterKV {
		r.addProblem("platform", "adapter", s.Adapter, "set "+AdapterKV+" or leave it empty")
	}
	s.ReadyAddress = r.address("platform", "ready_address")
	s.AnnounceAddress = r.address("platform", "announce_address")
	s.Service = ident.Service(r.name("platform", "service"))
}

// AdapterKV is the name of the adapter for the platform whose store has an HTTP
// interface.
const AdapterKV = "kv"

func readLimits(r *settingsReader, s *Settings) {
	s.QueueLimit = r.integer("limits", "queue_per_target", 64, 1, 100_000)
	s.MaxRequestBytes = r.integer("limits", "max_request_bytes", 1<<20, 1024, 16<<20)
	s.MaxAnswerBytes = r.integer("limits", "max_answer_bytes", 4<<20, 1024, 16<<20)
	s.ReadTimeout = clock.Millis(r.integer("limits", "read_timeout_ms", 10_000, 100, 600_000))
	s.WriteTimeout = clock.Millis(r.integer("limits", "write_timeout_ms", 30_000, 100, 600_000))
	s.MaxCallers = r.integer("limits", "max_callers", 4096, 1, 1_000_000)
	s.BodyWindow = clock.Millis(r.integer("limits", "body_window_ms", 1000, 10, 600_000))
	s.BodyMinBytes = r.integer("limits", "body_min_bytes", 16<<10, 0, 16<<20)
	s.BodySenderPercent = r.integer("limits", "body_sender_percent", 75, 1, 100)
	if limit, reserve := s.BodyMemory(); s.LargestBodyBuffers() > limit-reserve {
		r.addProblem("limits", "max_request_bytes", strconv.Itoa(s.MaxRequestBytes),
			fmt.Sprintf("set at most %d with memory_limit_mb = %d, or a higher memory_limit_mb", (limit-reserve)*2/3, s.MemoryLimitMB))
	}
	s.TicketTTL = clock.Millis(r.integer("tickets", "ttl_s", 600, 5, 86_400)) * clock.Second
	s.MaxTickets = r.integer("tickets", "max_open", 65_536, 16, 10_000_000)
	s.MaxKeptAnswerBytes = r.integer("tickets", "kept_answer_bytes", 4<<20, 1024, 1<<30)
	s.RateSlots = r.integer("rate", "slots", 48, 1, 65_536)
	s.RateLease = clock.Millis(r.integer("rate", "lease_minutes", 360, 1, 10_080)) * clock.Minute
}

func readTLS(r *settingsReader, s *Settings) {
	s.CallerCert = r.text("tls", "caller_cert", "")
	s.CallerKey = r.text("tls", "caller_key", "")
	s.InnerCert = r.text("tls", "inner_cert", "")
	s.InnerKey = r.text("tls", "inner_key", "")
	s.InnerCA = r.text("tls", "inner_ca", "")
	if (s.CallerCert == "") != (s.CallerKey == "") {
		r.addProblem("tls", "caller_key", s.CallerKey, "set both caller_cert and caller_key, or neither")
	}
	if (s.InnerCert == "") != (s.InnerKey == "") || (s.InnerCert == "") != (s.InnerCA == "") {
		r.addProblem("tls", "inner_ca", s.InnerCA, "set all of inner_cert, inner_key and inner_ca, or none")
	}
}

func readTargets(r *settingsReader, s *Settings) {
	for _, section := range r.file.SectionStrings() {
		if !strings.HasPrefix(section, targetPrefix) {
			continue
		}
		t := Target{ID: ident.Target(strings.TrimPrefix(section, targetPrefix))}
		t.Service = ident.Service(r.name(section, "service"))
		t.Address = r.address(section, "address")
		t.Slots = r.integer(section, "slots", 1, 1, ident.MaxSlots)
		s.Targets = append(s.Targets, t)
	}
}

// settingsReader reads values from an INI file and collects the problems it
// finds.
type settingsReader struct {
	file *ini.File
	// knownKeys holds "section.key" of every setting that has been read.
	knownKeys map[string]bool
	problems  []Problem
}

func (r *settingsReader) addProblem(section, key, value, remedy string) {
	r.problems = append(r.problems, Problem{Section: section, Key: key, Value: value, Remedy: remedy})
}

// text returns a value as it is written, or fallback if the key is missing.
func (r *settingsReader) text(section, key, fallback string) string {
	r.knownKeys[section+"."+key] = true
	if !r.file.HasSection(section) || !r.file.Section(section).HasKey(key) {
		return fallback
	}
	return r.file.Section(section).Key(key).String()
}

// name reads a required identifier. It must not contain the separators of stored
// keys and tickets.
func (r *settingsReader) name(section, key string) string {
	v := r.text(section, key, "")
	if v == "" || len(v) > 64 || strings.ContainsAny(v, " ~/\t") {
		r.addProblem(section, key, v, "set a name of 1 to 64 characters without spaces, '~' or '/'")
	}
	return v
}

// address reads a required ip:port.
func (r *settingsReader) address(section, key string) string {
	v := r.text(section, key, "")
	r.checkAddress(section, key, v)
	return v
}

func (r *settingsReader) checkAddress(section, key, v string) {
	if !ident.IsAddress(v) {
		r.addProblem(section, key, v, "set an IP address and a port, such as 127.0.0.1:8080")
	}
}

// integer reads a whole number from low to high, or returns fallback if the key
// is missing or its value is empty.
func (r *settingsReader) integer(section, key string, fallback, low, high int) int {
	v := r.text(section, key, "")
	if v == "" {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		r.addProblem(section, key, v, fmt.Sprintf("set a whole number from %d to %d", low, high))
	}
	return n
}

// nonNegative reads a decimal number from 0 to 1e9, or returns fallback if the
// key is missing or its value is empty.
func (r *settingsReader) nonNegative(section, key string, fallback float64) float64 {
	v := r.text(section, key, "")
	if v == "" {
		return fallback
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= 0 && n <= 1e9) { // also refuses NaN
		r.addProblem(section, key, v, "set a number of at least 0, such as 0.2")
	}
	return n
}

// fraction reads a decimal number from 0 to 1, or returns fallback if the key is missing
// or its value is empty.
func (r *settingsReader) fraction(section, key string, fallback float64) float64 {
	n := r.nonNegative(section, key, fallback)
	if n > 1 {
		r.addProblem(section, key, r.text(section, key, ""), "set a number from 0 to 1, such as 0.5")
	}
	return n
}

// boolean reads a value that strconv.ParseBool accepts, such as true or false, or
// returns fallback if the key is missing or its value is empty.
func (r *settingsReader) boolean(section, key string, fallback bool) bool {
	v := r.text(section, key, "")
	if v == "" {
		return fallback
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.addProblem(section, key, v, "set true or false")
	}
	return b
}

// reportUnknownKeys adds a problem for every setting that has not been read, and
// sorts all problems by section. Without an adapter, the settings that only an
// adapter uses have not been read either.
func (r *settingsReader) reportUnknownKeys() {
	for _, section := range r.file.Sections() {
		for _, key := range section.KeyStrings() {
			if !r.knownKeys[section.Name()+"."+key] {
				r.addProblem(section.Name(), key, section.Key(key).String(), "unknown setting: remove it or correct its name")
			}
		}
	}
	sort.SliceStable(r.problems, func(i, j int) bool { return r.problems[i].Section < r.problems[j].Section })
}
