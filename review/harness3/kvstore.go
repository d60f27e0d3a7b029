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

// Limits of the store, as PROTOCOL.md and the site file have them.
const (
	pageItems     = 500
	pageBytes     = 1 << 20
	maxTxnEntries = 32
	maxKeyBytes   = 200
	maxValueBytes = 1 << 20
	historyTime   = 20 * time.Second
	expiryTick    = 10 * time.Millisecond
)

// item is a key of the store, or its deletion.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Rev            int64  `json:"rev"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`
}

type change struct {
	item
	at time.Time
}

type kvLease struct {
	ttl   time.Duration
	until time.Time
}

// kvStore is a stand-in of the platform's metadata store that follows PROTOCOL.md.
type kvStore struct {
	mu        sync.Mutex
	rev       int64
	compacted int64
	items     map[string]item
	history   []change
	leases    map[int64]*kvLease
	lastLease int64
	changed   chan struct{}
	mux       *http.ServeMux
}

func newKVStore() *kvStore {
	s := &kvStore{rev: 1, items: map[string]item{}, leases: map[int64]*kvLease{}, changed: make(chan struct{}), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /kv-key", s.serveKey)
	s.mux.HandleFunc("GET /kv-range", s.serveRange)
	s.mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.mux.HandleFunc("POST /kv-txn", s.serveTxn)
	s.mux.HandleFunc("POST /kv-lease", s.serveLease)
	s.mux.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	s.mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseEnd)
	go func() {
		for range time.Tick(expiryTick) {
			s.expire()
		}
	}()
	return s
}

func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// expire ends the leases that have run out, and discards old history.
func (s *kvStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.endLease(id)
		}
	}
	old := 0
	for old < len(s.history) && time.Since(s.history[old].at) > historyTime {
		s.compacted = s.history[old].Rev
		old++
	}
	s.history = s.history[old:]
}

func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, found := range s.items {
		if found.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

// apply writes and deletes keys at the next revision. The caller holds the lock.
func (s *kvStore) apply(puts []item, deletes []string) int64 {
	s.rev++
	now := time.Now()
	for _, p := range puts {
		p.Rev, p.CreateRevision = s.rev, s.rev
		if before, ok := s.items[p.Key]; ok {
			p.CreateRevision = before.CreateRevision
		}
		s.items[p.Key] = p
		s.history = append(s.history, change{p, now})
	}
	for _, key := range deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, change{item{Key: key, Rev: s.rev, Deleted: true}, now})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

// put writes a key as the operator or an executor does.
func (s *kvStore) put(key string, value []byte, lease int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]item{{Key: key, Value: value, Lease: lease}}, nil)
}

// keepLease renews a lease, or grants a new one if it has ended.
func (s *kvStore) keepLease(id int64, ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.leases[id]; ok {
		l.until = time.Now().Add(l.ttl)
		return id
	}
	return s.grant(ttl)
}

func (s *kvStore) grant(ttl time.Duration) int64 {
	s.lastLease++
	s.leases[s.lastLease] = &kvLease{ttl: ttl, until: time.Now().Add(ttl)}
	return s.lastLease
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, found)
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	page, size := []item{}, 0
	for _, i := range found {
		if len(page) == pageItems || size > pageBytes {
			break
		}
		page, size = append(page, i), size+len(i.Key)+len(i.Value)
	}
	reply(w, http.StatusOK, map[string]any{"items": page, "morePages": len(page) < len(found), "currentRev": rev})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, rev := s.eventsAfter(query.Get("prefix"), after)
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes after a revision, and the revision to continue from. The caller
// holds the lock.
func (s *kvStore) eventsAfter(prefix string, after int64) ([]item, int64) {
	events := []item{}
	for _, c := range s.history {
		if c.Rev <= after || !strings.HasPrefix(c.Key, prefix) {
			continue
		}
		if len(events) >= pageItems && c.Rev != events[len(events)-1].Rev {
			return events, events[len(events)-1].Rev
		}
		events = append(events, c.item)
	}
	return events, s.rev
}

type txnBody struct {
	Expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected"`
	Puts    []item   `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Expected)+len(body.Puts)+len(body.Deletes) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range body.Expected {
		found, ok := s.items[e.Key]
		holds = holds && found.Rev == e.Rev
		if ok {
			current = append(current, found)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		_, leased := s.leases[p.Lease]
		switch {
		case strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/"):
			w.WriteHeader(http.StatusForbidden)
			return
		case len(p.Key) > maxKeyBytes || len(p.Value) > maxValueBytes:
			w.WriteHeader(http.StatusBadRequest)
			return
		case p.Lease != 0 && !leased:
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	reply(w, http.StatusOK, map[string]int64{"rev": s.apply(body.Puts, body.Deletes)})
}

func (s *kvStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(body.TTLMS)*time.Millisecond, time.Second), 10*time.Minute)
	s.mu.Lock()
	id := s.grant(ttl)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.until = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]int64{})
}

func (s *kvStore) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	_, ok := s.leases[id]
	if ok {
		s.endLease(id)
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]int64{})
}
