package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig runs one case: a store, daemons as separate processes, upstreams and clients.
type rig struct {
	trouble bool
	dir     string
	began   time.Time
	store   *kvStore
	storeAt string
	// network is the prefix of the machines' loopback addresses.
	network  string
	machines []*machine
	zones    map[string]string
	seeds    []string

	mu     sync.Mutex
	record *os.File
	// runs holds what the upstreams ran, by request id.
	runs map[string][]run
}

// run is one run of a request at an upstream.
type run struct {
	at       time.Time
	upstream string
	service  string
	caller   string
	tenant   string
	method   string
	path     string
}

// fail ends the case because it could not run.
func (r *rig) fail(format string, args ...any) {
	r.note("the case could not run: "+format, args...)
	r.end(exitNotRun)
}

// note writes a line to record.txt.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// end stops all processes and exits.
func (r *rig) end(code int) {
	for _, m := range r.machines {
		m.mu.Lock()
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
		}
		m.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		r.note("logs are kept")
	}
	_ = r.record.Close()
	os.Exit(code)
}

func newRig(recordFile string) *rig {
	f, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: f, zones: map[string]string{}, runs: map[string][]run{}}
	if r.dir, err = os.MkdirTemp("", "case"); err != nil {
		r.fail("%v", err)
	}
	if r.network, err = freeNetwork(); err != nil {
		r.fail("%v", err)
	}
	r.store = newStore()
	r.storeAt = r.network + ".2:8102"
	r.serve(r.storeAt, r.store)
	time.AfterFunc(115*time.Second, func() { r.fail("it took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		r.fail("it was ended from outside")
	}()
	return r
}

// freeNetwork returns the first three numbers of loopback addresses on which nothing
// listens at the ports that a case uses.
func freeNetwork() (string, error) {
	pid := os.Getpid()
	for i := range 200 {
		network := fmt.Sprintf("127.%d.%d", 20+(pid/200+i)%200, 1+(pid+7*i)%250)
		l, err := net.Listen("tcp", network+".2:8102")
		if err != nil {
			continue
		}
		l2, err := net.Listen("tcp", network+".10:8106")
		_ = l.Close()
		if err == nil {
			_ = l2.Close()
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (r *rig) serve(address string, h http.Handler) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		r.fail("%v", err)
	}
	go func() { _ = http.Serve(l, h) }()
}

// machine is one machine of the deployment: a daemon and, beside it, an upstream.
type machine struct {
	r       *rig
	name    string
	ip      string
	zone    string
	service string
	// storeAt is the address of the store in the settings.
	storeAt string
	config  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (r *rig) addMachine(name, zone, region, service string) *machine {
	m := &machine{r: r, name: name, zone: zone, service: service, storeAt: r.storeAt, ip: fmt.Sprintf("%s.%d", r.network, 110+len(r.machines))}
	r.zones[zone] = region
	m.config = filepath.Join(r.dir, name+".ini")
	r.machines = append(r.machines, m)
	if len(r.seeds) < 3 {
		r.seeds = append(r.seeds, m.control())
	}
	return m
}

func (m *machine) outbound() string { return m.ip + ":8106" }
func (m *machine) inner() string    { return m.ip + ":7640" }
func (m *machine) control() string  { return m.ip + ":8105" }
func (m *machine) ready() string    { return m.ip + ":8100" }
func (m *machine) app() string      { return m.ip + ":8103" }

// settings returns the fields that the platform fills into the template of the deploy file.
func (m *machine) settings() object {
	var zones []string
	for z := range m.r.zones {
		zones = append(zones, z)
	}
	sort.Strings(zones)
	return object{
		"node": m.name, "zone": m.zone, "region": m.r.zones[m.zone], "ip_address": m.ip, "service": m.service,
		"listen_addresses.outbound": m.outbound(), "listen_addresses.ready": m.ready(), "listen_addresses.control": m.control(),
		"internal_port_range.0": 7640, "internal_port_range.1": 7655, "heartbeat_interval": 1500,
		"platform.address": m.storeAt, "seed_nodes": strings.Join(m.r.seeds, ","),
		"bounds.grace_period": 6, "bounds.drain_timeout": 2000, "bounds.quota_window": 5, "bounds.quota_overshoot": 0.1, "bounds.quota_slack": 20,
		"bounds.retry_budget_ratio": 0.2, "bounds.budget_slack": 62, "bounds.budget_window": 10, "bounds.cold_overshoot": "", "bounds.cold_slack": "",
		"#zones": zones,
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)\}\}`)

// render fills the project's template of the settings, as the platform does.
func (m *machine) render() {
	template, err := os.ReadFile("deploy/daemon.ini")
	if err != nil {
		m.r.fail("%v", err)
	}
	fields := m.settings()
	text := strings.ReplaceAll(string(template), "{{#zones}}{{@}}{{,}}{{/zones}}", strings.Join(fields["#zones"].([]string), ","))
	text = placeholder.ReplaceAllStringFunc(text, func(s string) string {
		v, ok := fields[s[2:len(s)-2]]
		if !ok {
			m.r.fail("the template has the unknown field %s", s)
		}
		return fmt.Sprint(v)
	})
	if strings.Contains(text, "{{") {
		m.r.fail("the template has something that this case does not fill in")
	}
	next := m.config + ".new"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		m.r.fail("%v", err)
	}
	if err := os.Rename(next, m.config); err != nil {
		m.r.fail("%v", err)
	}
}

// start renders the settings and starts the daemon.
func (m *machine) start() {
	m.render()
	logs, err := os.OpenFile(filepath.Join(m.r.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.r.fail("%v", err)
	}
	cmd := exec.Command("target/chestnutlatch", "serve", "--config", m.config)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire["settings_env"] + "=" + m.config}
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		m.r.fail("%v: run the build of the deploy file first", err)
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = logs.Close()
		close(done)
	}()
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.cmd.Process.Signal(s); err != nil {
		m.r.note("signal to %s: %v", m.name, err)
	}
}

// awaitReady waits until all daemons answer the platform's readiness question.
func (r *rig) awaitReady() {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, m := range r.machines {
			if resp, err := http.Get("http://" + m.ready() + wire["ready_path"]); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(r.machines) {
			r.note("all %d daemons are ready", n)
			return
		}
		if time.Now().After(end) {
			r.fail("only %d of %d daemons became ready", n, len(r.machines))
		}
	}
}

// upstream is a stand-in of an application beside a daemon.
type upstream struct {
	r       *rig
	m       *machine
	id      string
	service string
	born    int64
	slots   int
	work    time.Duration
	// answer is the length of a body.
	answer   int
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	sequence uint64
	state    string
	stopped  bool
	running  int
	conns    map[net.Conn]bool
}

func (r *rig) newUpstream(m *machine, id, service string) *upstream {
	return &upstream{r: r, m: m, id: id, service: service, born: time.Now().UnixMilli(), slots: 4, work: 25 * time.Millisecond, answer: 600, state: "ready", conns: map[net.Conn]bool{}}
}

// start listens at the application's address and sends heartbeats.
func (u *upstream) start() *upstream {
	l, err := net.Listen("tcp", u.m.app())
	if err != nil {
		u.r.fail("%v", err)
	}
	u.listener = l
	u.server = &http.Server{Handler: u, ConnState: func(c net.Conn, s http.ConnState) {
		u.mu.Lock()
		defer u.mu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(u.conns, c)
		} else {
			u.conns[c] = true
		}
	}}
	go func() { _ = u.server.Serve(l) }()
	go func() {
		for u.beat() {
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return u
}

// beat sends one heartbeat, again until it is acknowledged. It returns false once the
// upstream has ended.
func (u *upstream) beat() bool {
	for {
		u.mu.Lock()
		stopped := u.stopped
		u.mu.Unlock()
		if stopped {
			return false
		}
		if u.send(http.MethodPut, u.heartbeat()) == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// heartbeat returns the body of the next heartbeat.
func (u *upstream) heartbeat() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	b, _ := json.Marshal(object{
		"service": u.service, "address": u.m.app(), "zone": u.m.zone, "version": "v1", "slots": u.slots,
		"state": u.state, "cold_remaining": 0, "sequence": u.sequence, "born": u.born,
	})
	return b
}

// send makes a call to the daemon and returns the status; 0 if there is none.
func (u *upstream) send(method string, body []byte) int {
	req, _ := http.NewRequest(method, "http://"+u.m.control()+wire["heartbeat_path"]+u.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// crash ends the upstream without a word.
func (u *upstream) crash() {
	u.mu.Lock()
	u.stopped = true
	u.mu.Unlock()
	_ = u.server.Close()
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h["Date"] = nil
	if req.URL.Path == wire["health_path"] {
		h.Set(wire["instance_header"], u.id)
		return
	}
	id := req.Header.Get(wire["id_header"])
	if want := req.Header.Get(wire["expected_header"]); want != "" && want != u.id {
		h.Set(wire["instance_header"], u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set(wire["id_header"], id)
	u.mu.Lock()
	u.running++
	full := u.running > u.slots+8
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	if full {
		h.Set(wire["not_run_header"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	u.r.mu.Lock()
	u.r.runs[id] = append(u.r.runs[id], run{
		at: time.Now(), upstream: u.id, service: u.service, caller: req.Header.Get(wire["caller_header"]),
		tenant: req.Header.Get(wire["tenant_header"]), method: req.Method, path: req.URL.RequestURI(),
	})
	u.r.mu.Unlock()
	time.Sleep(u.work)
	h.Set(wire["signature_header"], "3e1b.07.5a2.600.0."+id)
	h.Set("Content-Length", strconv.Itoa(u.answer))
	_, _ = w.Write(bytes.Repeat([]byte("x"), u.answer))
}

// route is one route of the configuration.
type route struct {
	name, host, prefix, service, kind string
	timeout                           int
	attempts                          int
}

// configure writes a version of the configuration as the operator does.
func (r *rig) configure(version int, tenants object, routes ...route) {
	var rows []object
	services := map[string]bool{}
	for _, rt := range routes {
		services[rt.service] = true
		rows = append(rows, object{
			"name": rt.name, "host": rt.host, "path_prefix": rt.prefix, "kind": rt.kind, "timeout": rt.timeout, "target_latency": 2000,
			"priority": 1, "service": rt.service, "max_attempts": max(rt.attempts, 2), wire["f_open"]: false,
		})
	}
	var names []object
	for s := range services {
		names = append(names, object{"name": s, "health_check_path": wire["health_path"], "max_connections": 390, "protocol": "h1", "tls": false})
	}
	var teams []object
	for name, keys := range tenants {
		teams = append(teams, object{"name": name, "api_keys": keys, "priority": 1, "rate_per_s": 0, "burst": 0})
	}
	b, _ := json.Marshal(object{
		"version": version, "routes": rows, "services": names, "tenants": teams,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": 3000, "idle_timeout": 15000},
	})
	r.store.put(wire["config_key"], b)
	r.note("operator: version %d is confirmed", version)
}

// answer is what a client got for one request.
type answer struct {
	id     string
	from   string
	sent   time.Time
	took   time.Duration
	status int
	signed bool
	err    error
}

// isServed reports whether the answer is a whole success of an upstream.
func (a answer) isServed() bool { return a.err == nil && a.status/100 == 2 && a.signed }

var (
	idMu   sync.Mutex
	lastID int
)

func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID++
	return fmt.Sprintf("%08x%08x", os.Getpid(), lastID)
}

// client sends requests from one machine.
type client struct {
	m    *machine
	http *http.Client
	key  string
}

func (m *machine) newClient(key string) *client {
	return &client{m: m, key: key, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
}

// do sends one request with a deadline.
func (c *client) do(method, host, path string, body []byte, deadline time.Duration) answer {
	a := answer{id: newID(), from: c.m.name, sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+c.m.outbound()+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set(wire["id_header"], a.id)
	req.Header.Set(wire["deadline_header"], strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+c.key)
	timer := time.AfterFunc(deadline+time.Second, c.http.CloseIdleConnections)
	defer timer.Stop()
	resp, err := c.http.Do(req)
	if err != nil {
		a.err, a.took = err, time.Since(a.sent)
		return a
	}
	defer resp.Body.Close()
	_, a.err = io.Copy(io.Discard, resp.Body)
	a.took, a.status, a.signed = time.Since(a.sent), resp.StatusCode, resp.Header.Get(wire["signature_header"]) != ""
	return a
}

// list notes each request: when it was sent and from where, what was answered, and where it
// ran.
func (r *rig) list(all []answer) {
	sort.Slice(all, func(i, j int) bool { return all[i].sent.Before(all[j].sent) })
	r.mu.Lock()
	runs := r.runs
	r.mu.Unlock()
	for _, a := range all {
		where := ""
		for _, run := range runs[a.id] {
			where += fmt.Sprintf(" run at %.3f by %s", run.at.Sub(r.began).Seconds(), run.upstream)
		}
		if where == "" {
			where = " not run"
		}
		r.note("sent at %.3f from %s, request %s,%s", a.sent.Sub(r.began).Seconds(), a.from, a, where)
	}
}

// listShort notes how the requests of each second ended, by path and status, and how many of
// them an upstream ran.
func (r *rig) listShort(all []answer) {
	r.mu.Lock()
	runs := r.runs
	r.mu.Unlock()
	counts := map[int]map[string]int{}
	last := 0
	for _, a := range all {
		path, id, _ := strings.Cut(a.id, " ")
		second := int(a.sent.Sub(r.began).Seconds())
		last = max(last, second)
		if counts[second] == nil {
			counts[second] = map[string]int{}
		}
		what := fmt.Sprintf("%s status %d", path, a.status)
		if a.err != nil {
			what = path + " no whole answer"
		}
		if len(runs[id]) > 0 {
			what += ", run"
		}
		counts[second][what]++
	}
	for s := range last + 1 {
		if len(counts[s]) > 0 {
			r.note("sent in second %d: %v", s, counts[s])
		}
	}
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: no whole answer after %d ms", a.id, a.took.Milliseconds())
	}
	return fmt.Sprintf("%s: status %d after %d ms", a.id, a.status, a.took.Milliseconds())
}
