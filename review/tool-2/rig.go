package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// zones are those of the site that the cases name.
var zones = []string{"accra-makola", "kumasi-kejetia", "tamale-central"}

const apiKey = "89anu6wsjnbanfqasnmg"

// heartbeatInterval is that of the site.
const heartbeatInterval = 1500 * time.Millisecond

// rig is a small deployment: the project's stand-in of the store, daemons as the deploy
// file starts them, and an upstream of this program beside each daemon.
type rig struct {
	dir       string
	root      string
	record    *record
	store     string
	control   string
	daemons   []*daemonProcess
	upstreams []*upstream
	processes []*exec.Cmd
	stopped   chan struct{}
}

// daemonProcess is one daemon with its addresses.
type daemonProcess struct {
	name, zone, service                                  string
	callers, inner, member, operator, readiness, control string
	config                                               string
	cmd                                                  *exec.Cmd
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Ports of a run are drawn from below the range from which the system takes the ports of
// outgoing connections, so that none of those takes one before its daemon listens on it.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// freeAddresses returns loopback addresses whose ports are free for TCP and UDP.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for port := firstPort + rand.IntN((lastPort-firstPort)/2); len(out) < n; port++ {
		if port > lastPort {
			return nil, fmt.Errorf("no %d free ports from %d to %d", n, firstPort, lastPort)
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if isFree(address) {
			out = append(out, address)
		}
	}
	return out, nil
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return p.Close() == nil
}

// newRig starts the store, n daemons, and n upstreams of alternating services that answer
// with handle.
func newRig(root, dir string, rec *record, n int, handle func(u *upstream, req *upstreamRequest) upstreamAnswer) (*rig, error) {
	r := &rig{dir: dir, root: root, record: rec, stopped: make(chan struct{})}
	addresses, err := freeAddresses(2 + 6*n)
	if err != nil {
		return nil, err
	}
	r.store, r.control = addresses[0], addresses[1]
	if _, err := r.start("store", filepath.Join(root, "bin", "standin"), "kv", "--address", r.store, "--control", r.control); err != nil {
		return nil, err
	}
	if err := r.waitFor(r.control); err != nil {
		return nil, err
	}
	if err := r.putDocument(1); err != nil {
		return nil, err
	}
	for i := range n {
		a := addresses[2+6*i:]
		d := &daemonProcess{
			name: fmt.Sprintf("sidecar-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)],
			service: []string{"status-desk", "stores"}[i/len(zones)%2],
			callers: a[0], inner: a[1], member: a[2], operator: a[3], readiness: a[4], control: a[5],
		}
		r.daemons = append(r.daemons, d)
		d.config = filepath.Join(dir, d.name+".ini")
		if err := os.WriteFile(d.config, []byte(r.settings(d)), 0o600); err != nil {
			return nil, err
		}
		if err := r.startDaemon(d); err != nil {
			return nil, err
		}
		u, err := newUpstream(r, d, fmt.Sprintf("i-%08x", 0x7f3a91c0+i), handle)
		if err != nil {
			return nil, err
		}
		r.upstreams = append(r.upstreams, u)
	}
	return r, nil
}

// settings returns the settings of a daemon as deploy/daemon.ini gives them for the site.
func (r *rig) settings(d *daemonProcess) string {
	return strings.NewReplacer(
		"%INSTANCE%", d.name, "%ZONE%", d.zone, "%SERVICE%", d.service, "%CALLERS%", d.callers, "%INNER%", d.inner,
		"%MEMBER%", d.member, "%OPERATOR%", d.operator, "%READY%", d.readiness, "%CONTROL%", d.control, "%STORE%", r.store,
		"%ZONES%", strings.Join(zones, ","),
	).Replace(settingsTemplate)
}

const settingsTemplate = `[daemon]
instance = %INSTANCE%
data_centre = %ZONE%
region = accra
caller_address = %CALLERS%
inner_address = %INNER%
member_address = %MEMBER%
operator_address = %OPERATOR%
trust_network = true
log_level = info
memory_limit_mb = 128
stop_timeout_ms = 6000

[platform]
adapter = kv
ready_address = %READY%
announce_address = %CONTROL%
service = %SERVICE%
heartbeat_ms = 1500
leave_ms = 2000

[store]
address = %STORE%
watchers = 2

[limits]
queue_per_target = 40
max_request_bytes = 16777216
max_answer_bytes = 16777216

[rate]
data_centres = %ZONES%
window_s = 5
overshoot = 0.1
slack = 20

[retry]
part = 0.2
slack = 62
window_s = 10
reserve = 0.5
shed_attempts = 2

[choice]
silent_ms = 1200
hedge = true
shed_is_failure = false

[cold]
overshoot =
slack =

[peers]
seeds =
`

// start starts a process whose output goes to a file in the temporary folder.
func (r *rig) start(name, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.root, out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r.processes = append(r.processes, cmd)
	r.record.line("started %s, process %d: %s %s", name, cmd.Process.Pid, filepath.Base(program), strings.Join(args[:1], " "))
	return cmd, nil
}

// startDaemon starts a daemon with the command of the deploy file.
func (r *rig) startDaemon(d *daemonProcess) error {
	cmd, err := r.start(d.name, filepath.Join(r.root, "target", "chestnutlatch"), "serve", "--config", d.config)
	d.cmd = cmd
	return err
}

// waitFor waits until an address accepts connections.
func (r *rig) waitFor(address string) error {
	for range 100 {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return c.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("nothing listens on %s", address)
}

// waitReady waits until every daemon says that it is ready, then until each has had the
// time to list the others.
func (r *rig) waitReady() error {
	for _, d := range r.daemons {
		ready := false
		for range 100 {
			resp, err := http.Get("http://" + d.readiness + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if ready = resp.StatusCode == http.StatusOK; ready {
					break
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !ready {
			return fmt.Errorf("%s is not ready", d.name)
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// putDocument writes the operators' configuration through the store's stand-in.
func (r *rig) putDocument(version int) error {
	body := strings.ReplaceAll(names.Document, "%VERSION%", strconv.Itoa(version))
	req, err := http.NewRequest(http.MethodPut, "http://"+r.control+"/document", bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("the store's stand-in answers %s to the document", resp.Status)
	}
	r.record.line("configuration %d is written", version)
	return nil
}

// stop ends all processes that the rig started.
func (r *rig) stop() {
	close(r.stopped)
	for _, cmd := range r.processes {
		_ = cmd.Process.Kill()
	}
	for _, cmd := range r.processes {
		_ = cmd.Wait()
	}
}
