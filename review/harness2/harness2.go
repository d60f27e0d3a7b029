// Package harness2 starts the programs of the deploy file as separate processes on loopback
// addresses, with stand-ins of the platform, for the cases of the second review.
package harness2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chervilrun/chervilrun/platform/standin"
)

// The exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Bench is a small deployment.
type Bench struct {
	// Trouble is false if the case has to run without its disruption.
	Trouble bool
	Store   *Switchboard
	Pool    *Pool
	// Adviser is the address of the adviser; empty if there is none.
	Adviser string
	dir     string
	prefix  string
	started time.Time
	stop    chan struct{}

	mu     sync.Mutex
	record *os.File
	hosts  []*Host
}

// NewBench creates a deployment that writes its record to the given file.
func NewBench(recordPath string) *Bench {
	record, err := os.Create(recordPath)
	Must(err)
	dir, err := os.MkdirTemp("", "review2-")
	Must(err)
	pid := os.Getpid()
	b := &Bench{
		Trouble: os.Getenv("TROUBLE") != "0", Store: &Switchboard{Inner: standin.NewStore()},
		dir: dir, prefix: fmt.Sprintf("127.%d.%d.", 64+pid/200%60, 1+pid%200),
		started: time.Now(), stop: make(chan struct{}), record: record,
	}
	b.Pool = newPool(b)
	go b.Pool.run()
	return b
}

// started holds the processes that run, for a case that ends early.
var started struct {
	mu        sync.Mutex
	processes map[*os.Process]bool
}

func noteProcess(process *os.Process, running bool) {
	started.mu.Lock()
	defer started.mu.Unlock()
	if started.processes == nil {
		started.processes = map[*os.Process]bool{}
	}
	started.processes[process] = running
}

// Must ends the processes and the program with NotRun if there is an error.
func Must(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "the case can't run:", err)
	started.mu.Lock()
	for process, running := range started.processes {
		if running {
			_ = process.Kill()
		}
	}
	os.Exit(NotRun)
}

// Log writes a line to the record and to standard output.
func (b *Bench) Log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = b.record.WriteString(line)
	fmt.Print(line)
}

// Close ends everything that the bench has started.
func (b *Bench) Close() {
	for _, h := range b.hosts {
		h.Signal(syscall.SIGCONT)
		h.Kill()
	}
	close(b.stop)
	_ = os.RemoveAll(b.dir)
	_ = b.record.Close()
}

// Serve serves a handler on a free port of an address of this deployment.
func (b *Bench) Serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return listener.Addr().String()
}

// Await waits until a condition holds, at most as long as limit, and reports whether it does.
func (b *Bench) Await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// Switchboard is the platform's store with a switch for outages.
type Switchboard struct {
	Inner *standin.Store
	// Before is called before each request; it returns false if it has dealt with the request.
	Before func(w http.ResponseWriter, r *http.Request) bool

	mu     sync.Mutex
	silent bool
}

// SetSilent starts or ends an outage in which the store does nothing and answers nothing.
func (s *Switchboard) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *Switchboard) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// ServeHTTP implements http.Handler.
func (s *Switchboard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Before != nil && !s.Before(w, r) {
		return
	}
	if s.isSilent() {
		for s.isSilent() && r.Context().Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		// A connection on which a response is lost returns nothing further.
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/kv-watch" {
		s.serveWatch(w, r)
		return
	}
	s.Inner.ServeHTTP(w, r)
}

// Host is a process of the deploy file with its settings.
type Host struct {
	Name, Front, Ready, Internal string
	bench                        *Bench
	settings                     string
	log                          *os.File
	mu                           sync.Mutex
	process                      *exec.Cmd
}

// AddHost creates a host that reaches the store at an address; it is not started.
func (b *Bench) AddHost(number int, storeAddress, cloudAddress string, cpuShare float64) *Host {
	ip := fmt.Sprintf("%s%d", b.prefix, 10+number)
	h := &Host{
		Name: fmt.Sprintf("front-%d", number), bench: b,
		Front: ip + ":8521", Ready: ip + ":8523", Internal: ip + ":7000",
	}
	h.settings = filepath.Join(b.dir, h.Name+".toml")
	text := fmt.Sprintf(`node = %q
role = "host"
class = "front"
serves = ["front"]
ip = %q
zone = "z0"
region = "r"
internalPorts = [7000,7015]
orders = "call"
advice = %q
[listen]
front = %q
ready = %q
[limits]
cpuShare = %v
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
applyMs = 2000
revokeMs = 5000
holdMaxMs = 6000
stopMs = 400
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
upkeepS = 2
requireFence = false
leaseMs = 3000
[platform]
addr = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloud]
addr = %q
perS = 60.0
dutyPerS = 60.0
`, h.Name, ip, b.Adviser, h.Front, h.Ready, cpuShare, storeAddress, cloudAddress)
	Must(os.WriteFile(h.settings, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(b.dir, h.Name+".log"))
	Must(err)
	h.log = log
	b.hosts = append(b.hosts, h)
	return h
}

// Start starts the process with the command of the deploy file.
func (h *Host) Start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	command := exec.Command("target/chervil-host")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.bench.dir, "CHERVILRUN_SETTINGS=" + h.settings}
	command.Stdout, command.Stderr = h.log, h.log
	Must(command.Start())
	h.process = command
	noteProcess(command.Process, true)
}

// Signal sends a signal to the process.
func (h *Host) Signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(signal)
	}
}

// Kill ends the process and waits for it.
func (h *Host) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Kill()
		_ = h.process.Wait()
		noteProcess(h.process.Process, false)
		h.process = nil
	}
}

// LogText returns what the process has logged.
func (h *Host) LogText() string {
	text, err := os.ReadFile(h.log.Name())
	Must(err)
	return string(text)
}

// AwaitReady waits until the host reports itself ready.
func (h *Host) AwaitReady(limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + h.Ready + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	Must(fmt.Errorf("%s is not ready after %s: %s", h.Name, limit, h.LogText()))
}

// WriteConfiguration writes a configuration with two tenants, one queue each way.
func (b *Bench) WriteConfiguration(version int) {
	advised := ""
	if b.Adviser != "" {
		advised = fmt.Sprintf(`,
{"name":"advised","host":"q","prefix":"/advised/","priority":1,"service":"ledger","maxAttempts":3,"stretch":3,"sloMs":1000,"advice":{"decideMs":%d,"eachMs":%d,"validMs":%d}}`,
			DecideTime.Milliseconds(), EachTime.Milliseconds(), ValidTime.Milliseconds())
	}
	text := fmt.Sprintf(`{"version":%d,"routes":[
{"name":"urgent","host":"q","prefix":"/urgent/","priority":0,"service":"ledger","maxAttempts":3,"stretch":1.5,"sloMs":250},
{"name":"batch","host":"q","prefix":"/batch/","priority":2,"service":"ledger","maxAttempts":3,"stretch":3,"sloMs":3000}%s],
"services":[{"name":"ledger"}],"limits":{"maxBodyBytes":262144},
"tenants":[{"name":"aso","apiKeys":["key-aso"],"guaranteed":{"gpu":16}},{"name":"genkai","apiKeys":["key-genkai"],"guaranteed":{"gpu":8}}]}`, version, advised)
	if !b.Store.Inner.Put("op/config", text) {
		Must(fmt.Errorf("the configuration was not written"))
	}
}

// Client is a client with connections of its own.
type Client struct {
	Name  string
	bench *Bench
	http  *http.Client
	dials int
}

// NewClient returns a client that keeps one connection to a host open and uses it for all calls.
func (b *Bench) NewClient(name string) *Client {
	c := &Client{Name: name, bench: b}
	c.http = &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c.dials++
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	}}
	return c
}

// Dials is the number of connections that the client has opened.
func (c *Client) Dials() int { return c.dials }

// Call makes a call and returns the status and the body; status 0 means that there was no answer.
func (c *Client) Call(h *Host, method, path, key string, body any, deadline time.Duration) (int, string) {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		Must(err)
		reader = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.Front+path, reader)
	Must(err)
	request.Host = "q"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	sent := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		c.bench.Log("%s: %s %s at %s: no answer after %d ms: %v", c.Name, method, path, h.Name, time.Since(sent).Milliseconds(), err)
		return 0, ""
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	text, _ := io.ReadAll(response.Body)
	c.bench.Log("%s: %s %s at %s: %d %s after %d ms", c.Name, method, path, h.Name, response.StatusCode, strings.TrimSpace(string(text)), time.Since(sent).Milliseconds())
	return response.StatusCode, string(text)
}

// Step is a step of a job.
type Step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`
	MemMB        int64  `json:"memMb,omitempty"`
	GPU          int    `json:"gpu,omitempty"`
	EstRunMS     int64  `json:"estRunMs,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	MaxPerServer int    `json:"maxPerServer,omitempty"`
	DataRack     string `json:"dataRack,omitempty"`
}

// Job is the body of a submission.
type Job struct {
	Spec        string `json:"spec"`
	Steps       []Step `json:"steps"`
	LongRunning bool   `json:"longRunning,omitempty"`
}
