package localcluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one process of the cluster; it may be started again after it has exited.
type Process struct {
	// Name is "host/role" for chervilrun's processes, and the stand-in's name for a stand-in.
	Name string
	// Address is the address that the process listens on.
	Address string
	// advertised is the address at which other processes reach it: Address, or that of its link.
	advertised string
	program    string
	args       []string
	logPath    string

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed when the process has exited; nil before the first start.
	exited  chan struct{}
	exitErr error
}

func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, logFileMode)
	if err != nil {
		return errors.Wrap(err, "localcluster: open log")
	}
	defer logFile.Close()
	command := exec.Command(p.program, p.args...)
	command.Stdout = logFile
	command.Stderr = logFile
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "localcluster: start %s", p.Name)
	}
	exited := make(chan struct{})
	p.command = command
	p.exited = exited
	go func() {
		err := command.Wait()
		p.mu.Lock()
		p.exitErr = err
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process; it is an error when the process does not run.
func (p *Process) signal(s syscall.Signal) error {
	if !p.Running() {
		return errors.Errorf("localcluster: %s is not running", p.Name)
	}
	return errors.Wrapf(p.command.Process.Signal(s), "localcluster: signal %s", p.Name)
}

// Running reports whether the process has been started and has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// wait waits until the process has exited and returns its exit error.
func (p *Process) wait(timeout time.Duration) error {
	select {
	case <-p.exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exitErr
	case <-time.After(timeout):
		return errors.Errorf("localcluster: %s has not exited within %s", p.Name, timeout)
	}
}

// Log returns the output of the process so far.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

const logFileMode = 0o600

func logPath(dir, name string) string {
	return filepath.Join(dir, filepath.Base(filepath.Dir(name))+"-"+filepath.Base(name)+".log")
}
