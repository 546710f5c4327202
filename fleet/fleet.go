// Package fleet runs a deployment on one machine for the demonstration and for
// end-to-end tests. It starts the store stand-in, the targets, and one daemon
// beside each target as separate processes on loopback, configures them, and
// checks the outcomes that callers got against the actions that targets ran.
package fleet

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"chestnutlatch/ident"
)

// Spec describes a deployment.
type Spec struct {
	// BinDir is the directory with the built programs standin and chestnutlatch.
	BinDir string
	// Dir is the directory for settings files and logs. Start creates it if needed.
	Dir string
	// Regions, CentresPerRegion and TargetsPerCentre are the numbers of regions,
	// of data centres in a region, and of targets in a data centre.
	Regions          int
	CentresPerRegion int
	TargetsPerCentre int
	// Services are assigned to the targets of a data centre in rotation. There
	// must be at least one.
	Services []ident.Service
	// Slots is the number of requests that a target handles at once, and
	// WorkMillis its service time in milliseconds.
	Slots      int
	WorkMillis int
	// RateSlots is the number of rate slots of the whole fleet.
	RateSlots int
	// Adapter is the name of the platform adapter. Empty means the product's own
	// store and interface.
	Adapter string
	// LogLevels are assigned to the daemons in rotation. Empty means info for all
	// daemons.
	LogLevels []string
	// Settings is appended to the settings file of every daemon.
	Settings string
}

// Role is the kind of a process.
type Role string

// The roles of the processes in a fleet.
const (
	RoleStore  Role = "store"
	RoleTarget Role = "target"
	RoleDaemon Role = "daemon"
)

// Process is one process of a fleet. Its methods work only for processes that this
// program started.
type Process struct {
	Role Role   `json:"role"`
	Name string `json:"name"`
	PID  int    `json:"pid"`
	// Address is the address of a daemon for callers, or that of the store or
	// the target.
	Address    string           `json:"address"`
	DataCentre ident.DataCentre `json:"data_centre"`
	Region     ident.Region     `json:"region"`
	// Control is the operator address of a daemon, or the control address of a
	// stand-in, where faults are set and counts are read.
	Control string        `json:"control"`
	Service ident.Service `json:"service,omitempty"`
	cmd     *exec.Cmd
	args    []string
	log     *os.File
	// done is closed when the process has ended; exitErr is set before that.
	done    chan struct{}
	exitErr error
}

// Fleet is a running deployment. It is not safe for concurrent use while processes
// are started or restarted.
type Fleet struct {
	spec Spec
	// lastPortUsed is the last port that was tried; 0 before the first.
	lastPortUsed int
	Store        *Process
	// Daemons[i] is the daemon beside Targets[i].
	Targets []*Process
	Daemons []*Process
}

const (
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	stopTimeout  = 10 * time.Second
	fleetSecret  = "a-secret-for-loopback-only"
)

// Start starts all processes of a deployment without waiting until they are ready.
// On an error it stops those that it has started.
func Start(spec Spec) (*Fleet, error) {
	if err := os.MkdirAll(spec.Dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create directory for settings and logs")
	}
	f := &Fleet{spec: spec}
	if err := f.startAll(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	ports, err := f.freePorts(2)
	if err != nil {
		return err
	}
	f.Store = &Process{Role: RoleStore, Name: "store", Address: ports[0], Control: ports[1]}
	// The command of a platform's store stand-in has the name of the adapter.
	kind := "store"
	if f.spec.Adapter != "" {
		kind = f.spec.Adapter
	}
	f.Store.args = []string{"standin", kind, "--address", ports[0], "--control", ports[1]}
	if err := f.spawn(f.Store); err != nil {
		return err
	}
	for r := range f.spec.Regions {
		region := ident.Region(fmt.Sprintf("region-%d", r+1))
		for c := range f.spec.CentresPerRegion {
			dc := ident.DataCentre(fmt.Sprintf("%s-dc-%d", region, c+1))
			for n := range f.spec.TargetsPerCentre {
				if err := f.startPair(region, dc, n); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// startPair starts target number n of a data centre, counted from 0, and the daemon
// beside it.
func (f *Fleet) startPair(region ident.Region, dc ident.DataCentre, n int) error {
	ports, err := f.freePorts(8)
	if err != nil {
		return err
	}
	index := len(f.Targets)
	service := f.spec.Services[n%len(f.spec.Services)]
	name := fmt.Sprintf("%s-%d", dc, n+1)
	t := &Process{
		Role: RoleTarget, Name: "target-" + name, Address: ports[0], Control: ports[1],
		DataCentre: dc, Region: region, Service: service,
	}
	t.args = []string{
		"standin", "target", "--id", "t-" + name, "--service", string(service), "--address", ports[0],
		"--control", ports[1], "--announce", ports[5], "--slots", fmt.Sprint(f.spec.Slots),
		"--work", fmt.Sprintf("%dms", f.spec.WorkMillis), "--seed", fmt.Sprint(index + 1),
	}
	if f.spec.Adapter != "" {
		t.args = append(t.args, "--adapter", f.spec.Adapter, "--data-centre", string(dc), "--announce", ports[7])
		if service == serviceDispatch {
			t.args = append(t.args, "--call-through", ports[2], "--call-path", partsPath)
		}
	}
	d := &Process{Role: RoleDaemon, Name: "daemon-" + name, Address: ports[2], Control: ports[5], DataCentre: dc, Region: region, Service: service}
	file, err := f.writeSettings(d, name, ports)
	if err != nil {
		return err
	}
	d.args = []string{"chestnutlatch", "serve", "--config", file}
	f.Targets = append(f.Targets, t)
	f.Daemons = append(f.Daemons, d)
	if err := f.spawn(t); err != nil {
		return err
	}
	return f.spawn(d)
}

// writeSettings writes the settings file of a daemon and returns its path.
func (f *Fleet) writeSettings(d *Process, name string, ports []string) (string, error) {
	file := filepath.Join(f.spec.Dir, d.Name+".ini")
	text := fmt.Sprintf(`[daemon]
instance = i-%s
data_centre = %s
region = %s
caller_address = %s
inner_address = %s
member_address = %s
operator_address = %s
fleet_secret = %s
log_level = %s

[store]
address = %s

[rate]
slots = %d
%s%s`, name, d.DataCentre, d.Region, ports[2], ports[3], ports[4], ports[5], fleetSecret, f.logLevel(), f.Store.Address, f.spec.RateSlots, f.platformSettings(d, ports), f.spec.Settings)
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// logLevel returns the log level of the next daemon.
func (f *Fleet) logLevel() string {
	if len(f.spec.LogLevels) == 0 {
		return "info"
	}
	return f.spec.LogLevels[len(f.Daemons)%len(f.spec.LogLevels)]
}

// platformSettings returns the end of a daemon's settings file that depends on the
// platform; empty without an adapter.
func (f *Fleet) platformSettings(d *Process, ports []string) string {
	if f.spec.Adapter == "" {
		return ""
	}
	var dataCentres []string
	for r := range f.spec.Regions {
		for c := range f.spec.CentresPerRegion {
			dataCentres = append(dataCentres, fmt.Sprintf("region-%d-dc-%d", r+1, c+1))
		}
	}
	return fmt.Sprintf(`data_centres = %s

[platform]
adapter = %s
ready_address = %s
announce_address = %s
service = %s
heartbeat_ms = 1000
`, strings.Join(dataCentres, ","), f.spec.Adapter, ports[6], ports[7], d.Service)
}

// spawn starts a process and appends its output to its own log file. The kernel
// kills the process when its parent ends.
func (f *Fleet) spawn(p *Process) error {
	logFile, err := os.OpenFile(filepath.Join(f.spec.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log file of a process")
	}
	cmd := exec.Command(filepath.Join(f.spec.BinDir, p.args[0]), p.args[1:]...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.cmd, p.PID, p.log = cmd, cmd.Process.Pid, logFile
	p.done = make(chan struct{})
	go func(done chan struct{}) {
		p.exitErr = cmd.Wait()
		close(done)
	}(p.done)
	return nil
}

// Restart starts an ended process again with the same arguments and settings. The
// caller must have waited for its end, for example with Kill.
func (f *Fleet) Restart(p *Process) error {
	return f.spawn(p)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

// Kill sends SIGKILL and waits until the process has ended, at most stopTimeout.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.wait()
}

// wait waits until the process has ended and returns an error after stopTimeout.
func (p *Process) wait() error {
	select {
	case <-p.done:
		return nil
	case <-time.After(stopTimeout):
		return errors.Errorf("%s did not exit within %s", p.Name, stopTimeout)
	}
}

// Terminate sends SIGTERM for a graceful shutdown and waits until the process has
// ended. It returns an error if that takes longer than stopTimeout or if the exit
// code is not zero.
func (p *Process) Terminate() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := p.wait(); err != nil {
		return err
	}
	return p.exitErr
}

// Stop kills all processes of the fleet without waiting for their end. Paused
// processes are continued first.
func (f *Fleet) Stop() {
	all := append(append([]*Process{}, f.Daemons...), f.Targets...)
	if f.Store != nil {
		all = append(all, f.Store)
	}
	for _, p := range all {
		if p.cmd != nil {
			_ = p.Signal(syscall.SIGCONT)
			_ = p.Signal(syscall.SIGKILL)
			_ = p.log.Close()
		}
	}
}

// RunOperatorCommand runs the program chestnutlatch with args against the fleet's
// store and returns its output. An error contains what the command wrote to
// standard error.
func (f *Fleet) RunOperatorCommand(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(f.spec.BinDir, "chestnutlatch"), append(args, "--store", f.Store.Address)...)
	var stderr strings.Builder
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return string(out), errors.Wrap(err, stderr.String())
	}
	return string(out), nil
}

// Entries returns the addresses of all daemons for callers, in the order of Daemons.
func (f *Fleet) Entries() []string {
	var out []string
	for _, d := range f.Daemons {
		out = append(out, d.Address)
	}
	return out
}

const (
	// firstPort and lastPort limit the ports to those below the range that the
	// system uses for outgoing connections. Otherwise such a connection could take
	// a selected port before the process that needs it has started.
	firstPort = 12_000
	lastPort  = 32_000
	// portStep separates the first ports of fleets that are started by programs
	// with successive process IDs.
	portStep = 101
)

// freePorts returns n loopback addresses with ports that are free for TCP and UDP.
func (f *Fleet) freePorts(n int) ([]string, error) {
	if f.lastPortUsed == 0 {
		f.lastPortUsed = firstPort + os.Getpid()*portStep%(lastPort-firstPort)
	}
	var out []string
	for tried := 0; len(out) < n; tried++ {
		if tried > lastPort-firstPort {
			return nil, errors.Errorf("fewer than %d free ports between %d and %d on 127.0.0.1: stop other processes that listen there", n, firstPort, lastPort)
		}
		if f.lastPortUsed++; f.lastPortUsed > lastPort {
			f.lastPortUsed = firstPort
		}
		if address := fmt.Sprintf("127.0.0.1:%d", f.lastPortUsed); isFree(address) {
			out = append(out, address)
		}
	}
	return out, nil
}

// isFree reports whether an address can be bound for both TCP and UDP.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	packetConn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return packetConn.Close() == nil
}
