package command_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/poolhost"
)

// fakePool serves the status of two hosts of a pool, of which the second is the owner.
type fakePool struct {
	host, owner *httptest.Server
	// ownerPort keeps the port of the owner after it is closed.
	ownerPort *reservedPort
}

// close ends both hosts and releases the owner's port.
func (f *fakePool) close() {
	f.host.Close()
	f.owner.Close()
	f.ownerPort.close()
}

// reservedPort is a socket that is bound to the port of a listener but does not listen.
// Once the listener is closed, connections to the port are refused, and no other process
// can be given the port.
type reservedPort struct{ fd int }

// listenReserved returns a listener on a free port of the loopback interface, and the
// reservation of that port.
func listenReserved() (net.Listener, *reservedPort, error) {
	shared := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		if err := raw.Control(func(fd uintptr) { optionErr = sharePort(int(fd)) }); err != nil {
			return err
		}
		return optionErr
	}}
	listener, err := shared.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, errors.Wrap(err, "socket")
	}
	port := listener.Addr().(*net.TCPAddr).Port
	if err := sharePort(fd); err != nil {
		return nil, nil, err
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, nil, errors.Wrapf(err, "reserve port %d", port)
	}
	return listener, &reservedPort{fd: fd}, nil
}

// sharePort lets a second socket of this process bind the same port.
func sharePort(fd int) error {
	return errors.Wrap(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1), "share port")
}

func (r *reservedPort) close() { _ = unix.Close(r.fd) }

// A closed owner refuses connections for as long as its port is reserved, however many
// listeners on free ports other processes open meanwhile.
func TestClosedOwnerKeepsItsPort(t *testing.T) {
	fake, err := newFakePool()
	require.NoError(t, err)
	defer fake.close()
	address := fake.owner.Listener.Addr().String()
	fake.owner.Close()

	_, err = net.Listen("tcp", address)
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	_, err = net.Dial("tcp", address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}

func newFakePool() (*fakePool, error) {
	listener, port, err := listenReserved()
	if err != nil {
		return nil, err
	}
	f := &fakePool{ownerPort: port}
	f.owner = &httptest.Server{Listener: listener, Config: &http.Server{Handler: poolHandler(poolhost.Status{
		Host: "host-b", ConfigVersion: 7, ConfigAgeMS: 90, ConfigConfirmed: true, FailingCalls: []string{}, Owner: "host-b",
		Term: &poolhost.TermStatus{Fence: 12, AgeMS: 42_000, Confirmed: true, Pool: pool.Report{
			Fence:   12,
			Workers: pool.WorkersReport{Listed: 48, Usable: 46, Silent: 1, Draining: 1, Slow: 2, Capacity: 368, Free: 12},
			Queues: []pool.QueueReport{
				{Queue: "previews", Priority: 0, Waiting: 1, Running: 4, OldestMS: 300},
				{Queue: "proofs", Priority: 2, Waiting: 9, Running: 6, OldestMS: 21_400},
			},
			Organisations: []pool.OrganisationReport{
				{Organisation: "bugac", Guaranteed: 24, Urgent: 16, UrgentWaiting: 8, Use: 120},
				{Organisation: "maros", Use: 236},
			},
			Reclaims: []pool.ReclaimReport{{For: "bugac", From: "maros", Runs: 3, CoreSeconds: 411.6}},
		}},
	}, poolhost.ExplainResponse{Owner: true, Found: true, Explanation: &pool.Explanation{
		Job: "2b07c2306a639cb5", Organisation: "maros", Queue: "proofs", State: "running",
		Accepted: time.Date(2026, 7, 22, 17, 50, 1, 0, time.UTC),
		Steps: []pool.StepExplanation{
			{Step: 0, Tasks: 12, Done: 10, Running: 2, Runs: 13, Failures: 1},
			{Step: 1, Tasks: 4, Gang: true, Waiting: 1, Why: "step 0 has 2 parts that are not done"},
		},
	}})}}
	f.owner.Start()
	ownerAddress := strings.TrimPrefix(f.owner.URL, "http://")
	f.host = httptest.NewServer(poolHandler(poolhost.Status{
		Host: "host-a", ConfigVersion: 7, ConfigAgeMS: 140, ConfigConfirmed: true, FailingCalls: []string{"workers"}, Owner: "host-b", OwnerAddress: ownerAddress,
	}, poolhost.ExplainResponse{OwnerAddress: ownerAddress}))
	return f, nil
}

// poolHandler serves the status of a host and the explanation of at most one job.
func poolHandler(status poolhost.Status, explained poolhost.ExplainResponse) http.Handler {
	write := func(w http.ResponseWriter, response any) { _ = json.NewEncoder(w).Encode(response) }
	mux := http.NewServeMux()
	mux.HandleFunc(poolhost.StatusPath, func(w http.ResponseWriter, _ *http.Request) { write(w, status) })
	mux.HandleFunc(poolhost.ExplainPath, func(w http.ResponseWriter, r *http.Request) {
		if explained.Explanation != nil && !strings.HasSuffix(r.URL.Path, string(explained.Explanation.Job)) {
			write(w, poolhost.ExplainResponse{Owner: true})
			return
		}
		write(w, explained)
	})
	return mux
}
