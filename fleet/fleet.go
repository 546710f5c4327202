// Package fleet runs a whole deployment on one machine, as separate processes
// on loopback: the store stand-in, targets, and a daemon beside each of them.
// It serves the demonstration and the process tests.
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
	// Bin is the folder of the built programs.
	Bin string
	// Dir receives settings files and logs.
	Dir string
	// Regions, CentresPerRegion and TargetsPerCentre give the size.
	Regions          int
	CentresPerRegion int
	TargetsPerCentre int
	Services         []ident.Service
	// Slots and WorkMillis describe each target.
	Slots      int
	WorkMillis int
	RateSlots  int
	// Adapter names the platform that the deployment stands on; empty is the
	// product's own interface.
	Adapter string
	// LogLevels are given to the daemons in turn; none is info.
	LogLevels []string
}

// Role tells the processes apart.
type Role string

// Roles of processes.
const (
	RoleStore  Role = "store"
	RoleTarget Role = "target"
	RoleDaemon Role = "daemon"
)

// Process is one started process.
type Process struct {
	Role       Role             `json:"role"`
	Name       string           `json:"name"`
	PID        int              `json:"pid"`
	Address    string           `json:"address"`
	DataCentre ident.DataCentre `json:"data_centre"`
	Region     ident.Region     `json:"region"`
	// Control is the operator address of a daemon, or the switches of a
	// stand-in.
	Control string        `json:"control"`
	Service ident.Service `json:"service,omitempty"`
	cmd     *exec.Cmd
	args    []string
	log     *os.File
	// done is closed when the process has ended with exit.
	done chan struct{}
	exit error
}

// Fleet is a running deployment.
type Fleet struct {
	spec Spec
	// port is the last port given out.
	port  int
	Store *Process
	// Targets and Daemons stand in pairs.
	Targets []*Process
	Daemons []*Process
}

const (
	readyTimeout = 20 * time.Second
	pollEvery    = 50 * time.Millisecond
	stopTimeout  = 10 * time.Second
	fleetSecret  = "a-secret-for-loopback-only"
)

// Start starts the deployment. On an error everything is stopped.
func Start(spec Spec) (*Fleet, error) {
	if err := os.MkdirAll(spec.Dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create folder")
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
	// The stand-in of a platform's store is named like the adapter.
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

// startPair starts a target and the daemon beside it.
func (f *Fleet) startPair(region ident.Region, dc ident.DataCentre, n int) error {
	ports, err := f.freePorts(8)
	if err != nil {
		return err
	}
	i := len(f.Targets)
	service := f.spec.Services[n%len(f.spec.Services)]
	name := fmt.Sprintf("%s-%d", dc, n+1)
	t := &Process{
		Role: RoleTarget, Name: "target-" + name, Address: ports[0], Control: ports[1],
		DataCentre: dc, Region: region, Service: service,
	}
	t.args = []string{
		"standin", "target", "--id", "t-" + name, "--service", string(service), "--address", ports[0],
		"--control", ports[1], "--announce", ports[5], "--slots", fmt.Sprint(f.spec.Slots),
		"--work", fmt.Sprintf("%dms", f.spec.WorkMillis), "--seed", fmt.Sprint(i + 1),
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
%s`, name, d.DataCentre, d.Region, ports[2], ports[3], ports[4], ports[5], fleetSecret, f.logLevel(), f.Store.Address, f.spec.RateSlots, f.platformSettings(d, ports))
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// logLevel returns the next daemon's level.
func (f *Fleet) logLevel() string {
	if len(f.spec.LogLevels) == 0 {
		return "info"
	}
	return f.spec.LogLevels[len(f.Daemons)%len(f.spec.LogLevels)]
}

// platformSettings returns a daemon's settings for the platform.
func (f *Fleet) platformSettings(d *Process, ports []string) string {
	if f.spec.Adapter == "" {
		return ""
	}
	var dcs []string
	for r := range f.spec.Regions {
		for c := range f.spec.CentresPerRegion {
			dcs = append(dcs, fmt.Sprintf("region-%d-dc-%d", r+1, c+1))
		}
	}
	return fmt.Sprintf(`data_centres = %s

[platform]
adapter = %s
ready_address = %s
announce_address = %s
service = %s
heartbeat_ms = 1000
`, strings.Join(dcs, ","), f.spec.Adapter, ports[6], ports[7], d.Service)
}

// spawn starts a process and logs its output to a file of its own.
func (f *Fleet) spawn(p *Process) error {
	log, err := os.OpenFile(filepath.Join(f.spec.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	cmd := exec.Command(filepath.Join(f.spec.Bin, p.args[0]), p.args[1:]...)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.cmd, p.PID, p.log = cmd, cmd.Process.Pid, log
	p.done = make(chan struct{})
	go func(done chan struct{}) {
		p.exit = cmd.Wait()
		close(done)
	}(p.done)
	return nil
}

// Restart starts a process that has ended again, with the same settings.
func (f *Fleet) Restart(p *Process) error {
	return f.spawn(p)
}

// Signal sends a signal to a process of this fleet.
func (p *Process) Signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

// Kill ends a process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.wait()
}

// wait waits for the end.
func (p *Process) wait() error {
	select {
	case <-p.done:
		return nil
	case <-time.After(stopTimeout):
		return errors.Errorf("%s did not end in %s", p.Name, stopTimeout)
	}
}

// Terminate asks a process to stop as planned and waits for its end.
func (p *Process) Terminate() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := p.wait(); err != nil {
		return err
	}
	return p.exit
}

// Stop ends everything that this fleet started.
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

// Operator runs an operator's command against the fleet's store.
func (f *Fleet) Operator(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(f.spec.Bin, "chestnutlatch"), append(args, "--store", f.Store.Address)...)
	var errOut strings.Builder
	cmd.Stderr = &errOut
	out, err := cmd.Output()
	if err != nil {
		return string(out), errors.Wrap(err, errOut.String())
	}
	return string(out), nil
}

// Entries returns the callers' addresses of the daemons.
func (f *Fleet) Entries() []string {
	var out []string
	for _, d := range f.Daemons {
		out = append(out, d.Address)
	}
	return out
}

const (
	// firstPort and lastPort lie under the ports that the system gives to
	// outgoing connections, so that none of those takes a chosen port before
	// its process has started.
	firstPort = 12_000
	lastPort  = 32_000
	// portStep spreads fleets of different processes over the range.
	portStep = 101
)

// freePorts returns loopback addresses that are free for TCP and UDP.
func (f *Fleet) freePorts(n int) ([]string, error) {
	if f.port == 0 {
		f.port = firstPort + os.Getpid()*portStep%(lastPort-firstPort)
	}
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, errors.Errorf("no %d free ports between %d and %d: end other processes", n, firstPort, lastPort)
		}
		if f.port++; f.port > lastPort {
			f.port = firstPort
		}
		if address := fmt.Sprintf("127.0.0.1:%d", f.port); isFree(address) {
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
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return c.Close() == nil
}
