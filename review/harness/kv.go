package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key-value pair as the store returns it.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Rev            int64  `json:"rev"`
	CreateRevision int64  `json:"createRevision"`
	Lease          int64  `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	left time.Duration
}

// kv is a stand-in of the platform's metadata store. While it is down it answers every call
// with 503, which means that nothing was done, and its leases pause.
type kv struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	last    int64
	down    bool
	changed chan struct{}
	stop    chan struct{}
}

// leaseTick is the resolution of leases.
const leaseTick = 20 * time.Millisecond

// pageItems is the number of items of a page.
const pageItems = 500

func newKV() *kv {
	s := &kv{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), stop: make(chan struct{})}
	go s.expireLeases()
	return s
}

func (s *kv) expireLeases() {
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		passed := time.Since(last)
		last = time.Now()
		s.mu.Lock()
		for id, l := range s.leases {
			if s.down {
				continue
			}
			if l.left -= passed; l.left <= 0 {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *kv) endLease(id int64) {
	delete(s.leases, id)
	for key, found := range s.items {
		if found.Lease == id {
			s.write(item{Key: key, Deleted: true})
		}
	}
}

// write applies one change in a revision of its own. The caller holds the lock.
func (s *kv) write(change item) {
	s.rev++
	s.apply(change)
}

func (s *kv) apply(change item) {
	old, found := s.items[change.Key]
	change.Rev = s.rev
	if change.Deleted {
		if !found {
			return
		}
		delete(s.items, change.Key)
	} else {
		change.CreateRevision = s.rev
		if found {
			change.CreateRevision = old.CreateRevision
		}
		s.items[change.Key] = change
	}
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or an executor does; it reports whether the store is up.
func (s *kv) put(key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.write(item{Key: key, Value: []byte(value)})
	return true
}

// remove removes a key; the store itself does so when an executor's entry expires, also
// while it is down.
func (s *kv) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Deleted: true})
}

func (s *kv) get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[key]
	return string(found.Value), ok
}

// leased returns the values of all keys that hang on a lease.
func (s *kv) leased() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var values []string
	for _, found := range s.items {
		if found.Lease != 0 {
			values = append(values, string(found.Value))
		}
	}
	return values
}

func (s *kv) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		// An error means that the client has left.
		_ = json.NewEncoder(w).Encode(body)
	}
}

// ServeHTTP implements http.Handler.
func (s *kv) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		answer(w, http.StatusServiceUnavailable, nil)
		return
	}
	switch path := r.URL.Path; {
	case path == "/kv-key":
		found, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			answer(w, http.StatusNotFound, map[string]int64{"currentRev": s.rev})
			return
		}
		answer(w, http.StatusOK, found)
	case path == "/kv-range":
		s.serveRange(w, r)
	case path == "/kv-watch":
		s.serveWatch(w, r)
	case path == "/kv-txn":
		s.serveTxn(w, r)
	case path == "/kv-lease":
		var body struct {
			TTLMS int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		ttl := time.Duration(max(1000, body.TTLMS)) * time.Millisecond
		s.last++
		s.leases[s.last] = &lease{ttl: ttl, left: ttl}
		answer(w, http.StatusOK, map[string]int64{"lease": s.last, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		s.serveLease(w, path)
	default:
		answer(w, http.StatusNotFound, nil)
	}
}

func (s *kv) serveLease(w http.ResponseWriter, path string) {
	id, err := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	l := s.leases[id]
	if err != nil || l == nil {
		answer(w, http.StatusNotFound, nil)
		return
	}
	if strings.HasPrefix(path, "/kv-lease-end/") {
		s.endLease(id)
	} else {
		l.left = l.ttl
	}
	answer(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *kv) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageItems
	answer(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageItems)], "morePages": more, "currentRev": s.rev})
}

// serveWatch waits for changes. The caller holds the lock, which is released while waiting.
func (s *kv) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		events := []item{}
		for _, change := range s.history {
			if change.Rev > after && strings.HasPrefix(change.Key, query.Get("prefix")) {
				events = append(events, change)
			}
		}
		if len(events) > 0 || wait == 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": s.rev})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		s.mu.Lock()
		if s.down {
			answer(w, http.StatusServiceUnavailable, nil)
			return
		}
		if expired {
			wait = 0
		}
	}
}

func (s *kv) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expected)+len(body.Puts)+len(body.Deletes) > 32 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	current, holds := []item{}, true
	for _, e := range body.Expected {
		found, ok := s.items[e.Key]
		if ok {
			current = append(current, found)
		}
		holds = holds && found.Rev == e.Rev
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, nil)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, nil)
			return
		}
	}
	s.rev++
	for _, p := range body.Puts {
		s.apply(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range body.Deletes {
		s.apply(item{Key: key, Deleted: true})
	}
	answer(w, http.StatusOK, map[string]int64{"rev": s.rev})
}
