package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is a machine of the system with its process.
type host struct {
	w        *world
	name     string
	settings string
	front    string
	ready    string
	command  []string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// settingsFile is the platform's settings file, with the bounds of a small deployment.
const settingsFile = `node = %q
role = "host"
class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "region"
internalPorts = [%d,%d]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
beatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","places","platform","advice","upkeep","sharing"]
orders = "call"
[listen]
front = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
applyMs = 2000
revokeMs = 5000
evacMs = 5000
recoverS = 12
holdMaxMs = 6000
stopMs = 400
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
moveS = 1.5
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
duties = []
dutyPerS = 60.0
`

// deployedCommand returns the command of the deploy file.
func deployedCommand() []string {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		panic(failure(err.Error()))
	}
	match := regexp.MustCompile(`(?m)^run = "(.+)"$`).FindSubmatch(text)
	if match == nil {
		panic(failure("the deploy file has no command"))
	}
	return strings.Fields(string(match[1]))
}

func (w *world) freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(failure(err.Error()))
	}
	defer listener.Close() //nolint:errcheck // only the number is needed
	return listener.Addr().(*net.TCPAddr).Port
}

// startSystem writes the first configuration and starts the platform and the hosts, each in
// a zone.
func (w *world) startSystem(zones []string) {
	go w.tick()
	_, storeAddr := w.listen(w.store)
	_, cloudAddr := w.listen(w)
	w.store.put("op/config", `{"version":3,"routes":[`+
		`{"name":"r-1","host":"q.example","prefix":"/urgent/","kind":"unsafe","timeoutMs":3000,"sloMs":250,"priority":0,"service":"ledger","maxAttempts":3,"stretch":1.5,"public":false},`+
		`{"name":"r-2","host":"q.example","prefix":"/scan/","kind":"unsafe","timeoutMs":3000,"sloMs":1000,"priority":1,"service":"ledger","maxAttempts":2,"stretch":3.0,"public":false}],`+
		`"services":[{"name":"ledger","healthPath":"/health","maxConns":64,"proto":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"admissionCheck":false,"spare":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"aso","apiKeys":["key-aso"],"priority":1,"guaranteed":{"gpu":16}}]}`)
	command := deployedCommand()
	for i, zone := range zones {
		ip := fmt.Sprintf("%s%d", w.ip, i+1)
		h := &host{w: w, name: fmt.Sprintf("front-%s-%d", zone, i+1), command: command}
		h.front = fmt.Sprintf("%s:%d", ip, w.freePort(ip))
		h.ready = fmt.Sprintf("%s:%d", ip, w.freePort(ip))
		internal := w.freePort(ip)
		h.settings = filepath.Join(w.dir, h.name+".toml")
		text := fmt.Sprintf(settingsFile, h.name, ip, zone, internal, internal, h.front, h.ready, storeAddr, cloudAddr)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			panic(failure(err.Error()))
		}
		w.hosts = append(w.hosts, h)
		h.start()
	}
	w.await("all hosts ready", 15*time.Second, func() bool {
		for _, h := range w.hosts {
			if !h.isReady() {
				return false
			}
		}
		return w.owner() != nil
	})
}

func (h *host) start() {
	cmd := exec.Command(h.command[0], h.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILRUN_SETTINGS=" + h.settings}
	// HARNESS_LOGS names a folder for the logs of the processes.
	if folder := os.Getenv("HARNESS_LOGS"); folder != "" {
		if log, err := os.OpenFile(filepath.Join(folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
			cmd.Stdout, cmd.Stderr = log, log
		}
	}
	if err := cmd.Start(); err != nil {
		panic(failure(err.Error()))
	}
	h.w.rec.add(h.name, "process started")
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		h.w.rec.add(h.name, "process ended: %s", cmd.ProcessState)
		close(exited)
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process, h.exited = cmd, exited
}

func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.w.rec.add(h.name, "signal: %s", sig)
	_ = h.process.Process.Signal(sig)
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	process, exited := h.process, h.exited
	h.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-exited
}

// restartAfterExit starts the process again once it has ended.
func (h *host) restartAfterExit() {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	go func() {
		select {
		case <-exited:
			time.Sleep(300 * time.Millisecond)
			select {
			case <-h.w.stopped:
			default:
				h.start()
			}
		case <-h.w.stopped:
		}
	}()
}

func (h *host) isReady() bool {
	response, err := http.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// owner returns the host that holds the leased key in the store.
func (w *world) owner() *host {
	for _, value := range w.store.leased() {
		var holder struct {
			Host string `json:"host"`
		}
		if json.Unmarshal([]byte(value), &holder) != nil {
			continue
		}
		for _, h := range w.hosts {
			if h.name == holder.Host {
				return h
			}
		}
	}
	return nil
}

// caller connects anew for each call.
var caller = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call of a client; status 0 means that there was no answer.
func (w *world) call(h *host, method, path, body string) (status int, text string) {
	request, err := http.NewRequest(method, "http://"+h.front+path, strings.NewReader(body))
	if err != nil {
		panic(failure(err.Error()))
	}
	request.Host = "q.example"
	request.Header.Set("Authorization", "Bearer key-aso")
	request.Header.Set("Deadline-Ms", "3000")
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := caller.Do(request)
	if err != nil {
		w.rec.add("client", "%s %s %s at %s -> no answer: %v", method, path, body, h.name, err)
		return 0, ""
	}
	defer response.Body.Close() //nolint:errcheck // the body has been read
	read, _ := io.ReadAll(response.Body)
	w.rec.add("client", "%s %s %s at %s -> %d %s", method, path, body, h.name, response.StatusCode, read)
	return response.StatusCode, string(read)
}

// submit hands a job in at one host after the other until it is accepted.
func (w *world) submit(prefix, id string, length time.Duration, body string) {
	w.mu.Lock()
	w.lengths[id] = length
	w.mu.Unlock()
	for try := range 12 {
		if status, _ := w.call(w.hosts[try%len(w.hosts)], http.MethodPost, prefix+id, body); status/100 == 2 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	panic(failure("job " + id + " was not accepted"))
}
