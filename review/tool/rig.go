package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine, each of which has a loopback address of its own.
const (
	portReady    = 8100
	portApp      = 8103
	portControl  = 8105
	portOutbound = 8106
	portInbound  = 8109
	portStore    = 8102
	portInner    = 7640
)

// errNoRun reports that a case could not run.
type errNoRun struct{ error }

func noRun(format string, args ...any) { panic(errNoRun{fmt.Errorf(format, args...)}) }

// rig is a small deployment: a store, and machines with a daemon and an upstream each.
type rig struct {
	root    string
	dir     string
	trouble bool
	// slots is the number of requests that each upstream processes at once.
	slots  int
	began  time.Time
	store  *kvStore
	subnet string
	hosts  []*host

	mu     sync.Mutex
	record *os.File
}

// host is one machine.
type host struct {
	rig  *rig
	name string
	zone string
	ip   string
	// service is that of the machine's upstream: svc or svc2.
	service string
	app     *upstream
	store   *storeFront

	mu    sync.Mutex
	proc  *exec.Cmd
	ended chan struct{}
}

// newRig starts a store and prepares n machines. It starts no daemon.
func newRig(folder string, n int) *rig {
	root, err := filepath.Abs(".")
	if err != nil {
		noRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		noRun("%v", err)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		noRun("%v", err)
	}
	r := &rig{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record, store: newKVStore(), slots: 4}
	if !r.trouble {
		r.log("TROUBLE=0: the same without the disruption")
	}
	for try := 0; r.subnet == ""; try++ {
		if try == 50 {
			noRun("no free loopback addresses")
		}
		subnet := fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))
		if isFree(subnet, n) {
			r.subnet = subnet
		}
	}
	r.store.put(names.ConfigKey, names.Config)
	for i := range n {
		h := &host{rig: r, name: fmt.Sprintf("sidecar-z%d-%d", i%2+1, i/2+1), zone: fmt.Sprintf("z%d", i%2+1), service: "svc", ip: fmt.Sprintf("%s%d", r.subnet, i+1)}
		// Each machine reaches the store at an address of its own, by which the
		// store tells the machines apart.
		l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", r.subnet, 100+i, portStore))
		if err != nil {
			noRun("%v", err)
		}
		h.store = &storeFront{store: r.store, address: l.Addr().String(), name: h.name}
		go h.store.serve(l)
		r.hosts = append(r.hosts, h)
	}
	return r
}

func isFree(subnet string, n int) bool {
	for i := range n {
		for _, port := range []int{portReady, portApp, portControl, portOutbound, portInner, 7650, 7655} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", subnet, i+1, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// log writes a line with the time since the start to record.txt.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the rig started.
func (r *rig) close() {
	for _, h := range r.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range r.hosts {
		h.wait(5 * time.Second)
	}
	_ = os.RemoveAll(r.dir)
	r.record.Close()
}

func (h *host) at(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// start renders the settings and starts the daemon with the command of the deploy file.
func (h *host) start(firstStart bool) {
	var fields map[string]any
	if err := json.Unmarshal(names.Settings, &fields); err != nil {
		noRun("%v", err)
	}
	fields["node"], fields["zone"], fields["ip_address"], fields["first_start"] = h.name, h.zone, h.ip, firstStart
	fields["service"], fields["application_address"] = h.service, h.at(portApp)
	fields["listen_addresses"] = map[string]any{
		"inbound": h.at(portInbound), "outbound": h.at(portOutbound), "ready": h.at(portReady), "control": h.at(portControl),
	}
	fields["platform"] = map[string]any{"address": h.store.address}
	seeds := []any{}
	for _, other := range h.rig.hosts[:min(3, len(h.rig.hosts))] {
		seeds = append(seeds, other.at(portControl))
	}
	fields["seed_nodes"] = seeds
	template, err := os.ReadFile(filepath.Join(h.rig.root, "deploy", "daemon.ini"))
	if err != nil {
		noRun("%v", err)
	}
	file := filepath.Join(h.rig.dir, h.name+".ini")
	if err := os.WriteFile(file, []byte(render(string(template), fields)), 0o600); err != nil {
		noRun("%v", err)
	}
	logFile, err := os.OpenFile(filepath.Join(h.rig.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		noRun("%v", err)
	}
	cmd := exec.Command(filepath.Join(h.rig.root, "target", "chestnutlatch"), "serve", "--config", file)
	cmd.Dir, cmd.Stdout, cmd.Stderr = h.rig.root, logFile, logFile
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHESTNUTLATCH_CONFIG=" + file}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		noRun("start daemon: %v (run the build of deploy/system.toml first)", err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		logFile.Close()
		close(ended)
	}()
	h.mu.Lock()
	h.proc, h.ended = cmd, ended
	h.mu.Unlock()
	h.rig.log("daemon of %s started", h.name)
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.proc == nil {
		return
	}
	select {
	case <-h.ended:
	default:
		_ = h.proc.Process.Signal(s)
	}
}

// wait waits for the end of the daemon and reports whether it ended.
func (h *host) wait(timeout time.Duration) bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// isReady asks the readiness question once.
func (h *host) isReady() bool {
	resp, err := shortClient.Get("http://" + h.at(portReady) + names.Ready)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var shortClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// waitReady waits until the daemon is ready.
func (h *host) waitReady() {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.isReady() {
			h.rig.log("daemon of %s is ready", h.name)
			return
		}
	}
	noRun("daemon of %s is not ready after 10 s", h.name)
}

// startAll starts every daemon and upstream, and waits until requests are served
// through every daemon and by every upstream.
func (r *rig) startAll() {
	for _, h := range r.hosts {
		h.start(true)
	}
	for _, h := range r.hosts {
		h.app = newUpstream(h, fmt.Sprintf("i-%s", h.name))
		go h.app.beatRegularly()
	}
	for _, h := range r.hosts {
		h.waitReady()
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			noRun("not all upstreams get requests after 10 s")
		}
		served := true
		for _, h := range r.hosts {
			for _, name := range []string{"look.example", "look2.example"} {
				if r.hasService(name) {
					served = h.send(request{path: "/look/warm", host: name}).status == http.StatusOK && served
				}
			}
		}
		for _, h := range r.hosts {
			served = served && h.app.runs() > 0
		}
		if served {
			break
		}
	}
	r.log("every daemon serves, every upstream gets requests")
}

// hasService reports whether an upstream serves the route of a host name.
func (r *rig) hasService(name string) bool {
	for _, h := range r.hosts {
		if (h.service == "svc2") == (name == "look2.example") {
			return true
		}
	}
	return false
}

// request is what a client sends; the zero values are those of a GET without a body.
type request struct {
	method  string
	host    string
	path    string
	headers map[string]string
	body    []byte
	timeout time.Duration
	key     string // empty stands for the key that is never withdrawn
}

type response struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second}}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request to the outbound address of the machine and logs it.
func (h *host) send(q request) response {
	if q.method == "" {
		q.method = http.MethodGet
	}
	if q.timeout == 0 {
		q.timeout = 12 * time.Second
	}
	out := response{id: newID()}
	var body io.Reader
	if q.body != nil {
		body = strings.NewReader(string(q.body))
	}
	req, err := http.NewRequest(q.method, "http://"+h.at(portOutbound)+q.path, body)
	if err != nil {
		noRun("%v", err)
	}
	req.Host = q.host
	if q.key == "" {
		q.key = "key-of-team-a"
	}
	req.Header.Set("Authorization", "Bearer "+q.key)
	req.Header.Set(names.Attempt, out.id)
	req.Header.Set(names.Deadline, fmt.Sprint(q.timeout.Milliseconds()))
	for k, v := range q.headers {
		req.Header.Set(k, v)
	}
	h.rig.log("client of %s sends %s: %s %s", h.name, out.id, q.method, q.path)
	resp, err := client.Do(req)
	if err == nil {
		out.status, out.header = resp.StatusCode, resp.Header
		out.body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	out.err = err
	if err != nil {
		h.rig.log("client of %s gets no answer to %s: %v", h.name, out.id, err)
	} else {
		h.rig.log("client of %s gets %d to %s, signature %q", h.name, out.status, out.id, out.header.Get(names.Signature))
	}
	return out
}
