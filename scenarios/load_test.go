package scenarios

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chervilrun/chervilrun/client"
)

// loadGenerator sends requests continuously through the hosts that are ready, as the
// platform's load balancer does.
type loadGenerator struct {
	testbed      *testbed
	cancel       context.CancelFunc
	group        sync.WaitGroup
	readyHosts   atomic.Pointer[[]string]
	requestCount atomic.Int64

	done, notRun, unknown, wrong atomic.Int64

	mu        sync.Mutex
	lastError error
}

const (
	readinessInterval = 50 * time.Millisecond
	requestPause      = 2 * time.Millisecond
)

// cmdLoad implements the script command load:
//
//   - load start CALLERS ORGANISATION SERVICE [once] starts sending requests; with "once",
//     each has an idempotency key.
//   - load reach N waits until N more requests are done.
//   - load stop stops sending and prints the counts by outcome and the last error.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	b := testbedOf(ts)
	switch args[0] {
	case "start":
		b.load = startLoad(b, atoi(ts, args[1]), args[2], args[3], len(args) > 4)
	case "reach":
		goal := b.load.done.Load() + int64(atoi(ts, args[1]))
		waitUntil(ts, "load", func() error {
			if done := b.load.done.Load(); done < goal {
				return errors.Errorf("%d done, %d expected", done, goal)
			}
			return nil
		})
	case "stop":
		l := b.load
		l.stop()
		b.load = nil
		fmt.Fprintf(ts.Stdout(), "done=%d not_run=%d unknown=%d wrong=%d last=%v\n",
			l.done.Load(), l.notRun.Load(), l.unknown.Load(), l.wrong.Load(), l.lastError)
	}
}

func startLoad(b *testbed, callers int, organisation, service string, keyed bool) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{testbed: b, cancel: cancel}
	l.updateReady()
	l.group.Go(func() { l.watchReadiness(ctx) })
	for range callers {
		l.group.Go(func() { l.sendRequests(ctx, organisation, service, keyed) })
	}
	return l
}

func (l *loadGenerator) stop() {
	l.cancel()
	l.group.Wait()
}

// watchReadiness checks the readiness of every host periodically.
func (l *loadGenerator) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		l.updateReady()
		time.Sleep(readinessInterval)
	}
}

func (l *loadGenerator) updateReady() {
	var ready []string
	for host := range l.testbed.runningHosts() {
		response, err := httpClient.Get("http://" + l.testbed.cluster.Address(host+"/entry") + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, host)
		}
	}
	l.readyHosts.Store(&ready)
}

func (l *loadGenerator) sendRequests(ctx context.Context, organisation, service string, keyed bool) {
	for ctx.Err() == nil {
		ready := *l.readyHosts.Load()
		if len(ready) == 0 {
			time.Sleep(requestPause)
			continue
		}
		n := l.requestCount.Add(1)
		host := ready[int(n)%len(ready)]
		request := client.Request{Service: service, Body: fmt.Appendf(nil, "load %d", n)}
		if keyed {
			request.IdempotencyKey = fmt.Sprintf("key-load-%d", n)
		}
		response, err := l.testbed.client(host, organisation).Do(context.Background(), request)
		l.count(string(request.Body), response, err)
		time.Sleep(requestPause)
	}
}

func (l *loadGenerator) count(body string, response client.Answer, err error) {
	var failed *client.Error
	switch {
	case err == nil && string(response.Body) == "answer to "+body:
		l.done.Add(1)
		return
	case err == nil:
		l.wrong.Add(1)
		err = errors.Errorf("response %q to %q", response.Body, body)
	case errors.As(err, &failed) && failed.Kind == client.NotRun:
		l.notRun.Add(1)
	default:
		l.unknown.Add(1)
	}
	l.mu.Lock()
	l.lastError = err
	l.mu.Unlock()
}
