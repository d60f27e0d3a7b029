// Package localcluster runs a small deployment on the loopback interface: the stand-ins of
// the platform and a few entry hosts, with one operating system process for each program.
// It is used by the demo, the scenarios and the capacity measurement only.
package localcluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Roles of the processes on each entry host, in start order.
const (
	RoleAdmin     = "admin"
	RoleScheduler = "scheduler"
	RoleEntry     = "entry"
)

var roles = []string{RoleAdmin, RoleScheduler, RoleEntry}

// Secret is the cluster secret of every local cluster.
const Secret = "local-cluster-secret"

// BootstrapToken is the operator's token until the first configuration is accepted.
const BootstrapToken = "local-operator-token"

// Topology describes the processes of a cluster.
type Topology struct {
	// Deployment chooses the pool of the stand-ins: chikushi or vesofeny.
	Deployment string
	Zones      []string
	Hosts      int
	// Links puts a proxy that can lose messages in front of each process except the store.
	Links bool
}

// Cluster is a set of processes on loopback.
type Cluster struct {
	topology Topology
	binDir   string
	logDir   string
	// names holds the names of all processes in start order.
	names     []string
	processes map[string]*Process
	client    *http.Client
	// links is nil until the links are opened, and when the topology has none.
	links *links
}

const (
	startTimeout = 30 * time.Second
	stopTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	callTimeout  = 2 * time.Second
)

// New returns a cluster of the programs in binDir whose logs go to logDir. It assigns
// addresses and command lines; no process is started.
func New(binDir, logDir string, topology Topology) *Cluster {
	c := &Cluster{
		topology:  topology,
		binDir:    binDir,
		logDir:    logDir,
		processes: make(map[string]*Process),
		client:    &http.Client{Timeout: callTimeout},
	}
	c.addProcesses()
	return c
}

// portBase is one below the first port assigned.
const portBase = 20_000

// assignedPorts counts the ports assigned to all clusters of this program.
var assignedPorts atomic.Int64

// nextAddress returns a loopback address that no other program uses: the IP address is
// derived from the process ID, and outgoing connections use 127.0.0.1.
func nextAddress() string {
	const highBit = 0x80 // the second byte is at least 128, so the address is never 127.0.0.1
	pid := os.Getpid()
	ip := net.IPv4(127, byte(pid>>16)|highBit, byte(pid>>8), byte(pid))
	port := portBase + assignedPorts.Add(1)
	return net.JoinHostPort(ip.String(), strconv.FormatInt(port, 10))
}

func (c *Cluster) addProcesses() {
	for _, name := range standins {
		c.add(name, nextAddress())
	}
	for host := 1; host <= c.topology.Hosts; host++ {
		for _, role := range roles {
			c.add(HostName(host)+"/"+role, nextAddress())
		}
	}
	for _, name := range c.names {
		p := c.processes[name]
		p.program, p.args = c.commandLine(name)
	}
}

func (c *Cluster) add(name, address string) {
	advertised := address
	if c.topology.Links && name != StandinStore {
		advertised = nextAddress() // a link; the store needs none, since its stand-in injects faults per caller
	}
	c.names = append(c.names, name)
	c.processes[name] = &Process{Name: name, Address: address, advertised: advertised, logPath: logPath(c.logDir, name)}
}

// HostName returns the name of the n-th entry host, counted from 1.
func HostName(n int) string { return fmt.Sprintf("host%d", n) }

// Address returns the address that a process listens on.
func (c *Cluster) Address(name string) string { return c.processes[name].Address }

// Names returns the names of the processes that the pattern selects, in start order. The
// pattern is the name of a process, of a host for all its processes, or "*" for all.
func (c *Cluster) Names(pattern string) []string {
	var names []string
	for _, name := range c.names {
		if pattern == "*" || pattern == name || strings.HasPrefix(name, pattern+"/") {
			names = append(names, name)
		}
	}
	return names
}

// Running reports whether a process is running; a paused process counts as running.
func (c *Cluster) Running(name string) bool { return c.processes[name].Running() }

// BreakLink makes the link from one host to another lose messages until RestoreLinks is
// called. Each stand-in counts as a host.
func (c *Cluster) BreakLink(from, to string, loss Loss) { c.links.setLoss(from, to, loss) }

// RestoreLinks restores all links.
func (c *Cluster) RestoreLinks() { c.links.restoreAll() }

// advertised returns the address at which other processes reach a process.
func (c *Cluster) advertised(name string) string { return c.processes[name].advertised }

// Start starts the processes that the pattern selects and waits until they are healthy.
func (c *Cluster) Start(ctx context.Context, pattern string) error {
	names := c.Names(pattern)
	if len(names) == 0 {
		return errors.Errorf("localcluster: no process %q", pattern)
	}
	if err := c.openLinks(); err != nil {
		return err
	}
	for _, name := range names {
		if err := c.processes[name].start(); err != nil {
			return err
		}
	}
	for _, name := range names {
		if err := c.waitFor(ctx, name, "/healthz"); err != nil {
			return err
		}
	}
	return nil
}

// openLinks opens the links unless they are open.
func (c *Cluster) openLinks() error {
	if !c.topology.Links || c.links != nil {
		return nil
	}
	c.links = newLinks()
	for _, name := range c.names {
		p := c.processes[name]
		if p.advertised == p.Address {
			continue
		}
		if err := c.links.open(name, p.advertised, p.Address); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until the selected processes are ready; the stand-ins are skipped.
func (c *Cluster) WaitReady(ctx context.Context, pattern string) error {
	for _, name := range c.Names(pattern) {
		if slices.Contains(standins, name) {
			continue
		}
		if err := c.waitFor(ctx, name, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) waitFor(ctx context.Context, name, path string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	p := c.processes[name]
	lastStatus := "no response"
	for {
		if !p.Running() {
			return errors.Errorf("localcluster: %s has exited:\n%s", name, p.Log())
		}
		response, err := c.client.Get("http://" + p.Address + path)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			lastStatus = response.Status
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("localcluster: %s%s: %s:\n%s", name, path, lastStatus, p.Log())
		case <-time.After(pollInterval):
		}
	}
}

// Stop shuts the selected processes down gracefully, one after another in reverse start
// order. A process that exits with a code other than 0 is an error.
func (c *Cluster) Stop(pattern string) error {
	names := c.Names(pattern)
	slices.Reverse(names)
	for _, name := range names {
		p := c.processes[name]
		if !p.Running() {
			continue
		}
		if err := p.signal(syscall.SIGTERM); err != nil {
			return err
		}
		if err := p.wait(stopTimeout); err != nil {
			return errors.Wrapf(err, "localcluster: stop %s", name)
		}
	}
	return nil
}

// Kill kills the selected processes (SIGKILL) and waits until they have exited.
func (c *Cluster) Kill(pattern string) error {
	for _, name := range c.Names(pattern) {
		p := c.processes[name]
		if !p.Running() {
			continue
		}
		if err := p.signal(syscall.SIGKILL); err != nil {
			return err
		}
		_ = p.wait(stopTimeout) // a killed process always has an exit error
	}
	return nil
}

// Pause pauses the selected processes (SIGSTOP).
func (c *Cluster) Pause(pattern string) error { return c.signalAll(pattern, syscall.SIGSTOP) }

// Resume resumes the selected processes (SIGCONT).
func (c *Cluster) Resume(pattern string) error { return c.signalAll(pattern, syscall.SIGCONT) }

func (c *Cluster) signalAll(pattern string, s syscall.Signal) error {
	for _, name := range c.Names(pattern) {
		if err := c.processes[name].signal(s); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the links and kills all processes that still run.
func (c *Cluster) Close() error {
	if c.links != nil {
		c.links.close()
	}
	return c.Kill("*")
}

// Log returns the log of a process.
func (c *Cluster) Log(name string) string { return c.processes[name].Log() }

// Program returns the path of a program.
func (c *Cluster) Program(name string) string { return filepath.Join(c.binDir, name) }
