package localcluster

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Loss says which messages a link loses.
type Loss string

const (
	// LoseRequests loses requests: they do not reach the receiver.
	LoseRequests Loss = "requests"
	// LoseResponses loses responses: the requests take effect.
	LoseResponses Loss = "answers"
)

// links holds a proxy in front of each process of a cluster except the store. A proxy
// identifies the sender of a request by its User-Agent. When the link from that sender
// loses messages, the request hangs until the sender's own timeout or until the losses
// change, as in a network partition.
type links struct {
	mu sync.Mutex
	// losses holds what each link loses, by sending and receiving host.
	losses map[[2]string]Loss
	// changed is closed when losses changes, so that hanging requests are aborted.
	changed chan struct{}
	servers []*http.Server
}

func newLinks() *links {
	return &links{losses: map[[2]string]Loss{}, changed: make(chan struct{})}
}

// open listens on advertised and forwards requests to the process at target.
func (l *links) open(name, advertised, target string) error {
	listener, err := net.Listen("tcp", advertised)
	if err != nil {
		return errors.Wrapf(err, "localcluster: link to %s", name)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.serve(w, r, hostOf(name), target)
	})}
	l.mu.Lock()
	l.servers = append(l.servers, server)
	l.mu.Unlock()
	go func() {
		// Serve returns only after close, with nothing to report.
		_ = server.Serve(listener)
	}()
	return nil
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, server := range l.servers {
		_ = server.Close()
	}
}

// hostOf returns the host part of "host1/admin" or "host1/chervil-admin". The name of a
// stand-in is returned unchanged, as each stand-in counts as a host.
func hostOf(name string) string {
	host, _, _ := strings.Cut(name, "/")
	return host
}

func (l *links) setLoss(from, to string, loss Loss) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losses[[2]string{from, to}] = loss
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *links) restoreAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.losses)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *links) currentLoss(from, to string) (loss Loss, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.losses[[2]string{from, to}], l.changed
}

func (l *links) serve(w http.ResponseWriter, r *http.Request, to, target string) {
	from := hostOf(r.UserAgent())
	if loss, changed := l.currentLoss(from, to); loss == LoseRequests {
		hangThenAbort(r, changed)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	response, err := forward(r, target, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if loss, changed := l.currentLoss(from, to); err != nil || loss != "" {
		hangThenAbort(r, changed)
	}
	for key, values := range response.Header {
		w.Header()[key] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(responseBody)
}

// hangThenAbort blocks until the sender gives up or the losses change, then aborts the
// request.
func hangThenAbort(r *http.Request, changed <-chan struct{}) {
	select {
	case <-r.Context().Done():
	case <-changed:
	}
	panic(http.ErrAbortHandler)
}

func forward(r *http.Request, target string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "localcluster: forward")
	}
	request.Header = r.Header.Clone()
	return http.DefaultTransport.RoundTrip(request)
}
