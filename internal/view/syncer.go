package view

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/hostlist"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/store"
)

// Intervals and timeouts of the syncer.
const (
	// confirmInterval is the interval of confirmations by the store.
	confirmInterval = time.Second
	// maxStoreCalls limits the concurrent confirmations and resyncs while the store is slow.
	maxStoreCalls = 4
	// confirmTimeout is the longest wait for a response of the store.
	confirmTimeout = 4 * time.Second
	// resyncInterval is the interval of full reads of epochs, members and owners, which make up
	// for a watch that has silently stopped.
	resyncInterval = 15 * time.Second
	// minWatchBackoff and maxWatchBackoff limit the wait before a broken watch is restarted.
	minWatchBackoff = 100 * time.Millisecond
	maxWatchBackoff = 2 * time.Second
	// hostListInterval is the interval of reads of the platform's list of hosts.
	hostListInterval = time.Second
	// hostListTimeout is the longest wait for the list.
	hostListTimeout = 2 * time.Second
)

// SyncerOptions configures a Syncer.
type SyncerOptions struct {
	// Self is this host; peers reach the syncer at its AdminAddress.
	Self  Member
	Store store.Store
	// Hosts reads the platform's list of hosts; with nil, workers and executors stay empty.
	Hosts hostlist.Lister
	Clock clockwork.Clock
	// Events and Metrics receive what the syncer reports.
	Events  *event.Recorder
	Metrics prometheus.Registerer
	// Dial returns a Relay client for an admin address.
	Dial func(address string) rpc.Relay
	// Seeds are the admin addresses of other hosts that are peers from the start. The statement
	// of a seed is required to confirm an outage only while no members are known.
	Seeds []string
	// Seed seeds the jitter of retries.
	Seed uint64
}

// Syncer maintains the view of one host from the host's only store watch, from confirmations
// by the store and, while it can't reach the store, from its peers. It implements Source
// and rpc.Relay.
type Syncer struct {
	*viewState
	SyncerOptions
	freshness *freshness
	peers     *peers
	metrics   *syncerMetrics
	// storeCalls is a semaphore of maxStoreCalls.
	storeCalls chan struct{}
	// firstSerial is the start time in milliseconds, so that serials don't repeat after a restart.
	firstSerial uint64

	mu sync.Mutex
	// loaded is true once the members were read from the store or from a peer.
	loaded bool
	// appliedRevision is the store revision of the owners, members and epochs in the view.
	appliedRevision store.Revision
	// revisions holds the revisions of the configuration and of each epoch, by key.
	revisions map[string]store.Revision
	// members holds the decoded values of the member keys.
	members map[model.HostID]Member
	// storeReadAt is when the last successful read of owners, members and epochs was sent.
	storeReadAt time.Time
	// storeConfirmedAt is when the last successful confirmation was requested.
	storeConfirmedAt time.Time
	// peerConfirmedAt is the latest confirmation by a peer, on the local clock.
	peerConfirmedAt time.Time
	localChanges    localChanges
	// nextConfirmation is closed at the next confirmation.
	nextConfirmation chan struct{}
	// hostList is the platform's list as last read, at hostListReadAt; everListed holds all
	// entry hosts that it has ever contained.
	hostList       hostlist.Hosts
	hostListReadAt time.Time
	everListed     map[model.HostID]bool
	random         *rand.Rand
	storeDown      bool
}

// NewSyncer returns a syncer and registers its metrics; Run starts it.
func NewSyncer(options SyncerOptions) *Syncer {
	s := &Syncer{
		viewState:        newViewState(options.Self.Host, options.Events),
		SyncerOptions:    options,
		freshness:        newFreshness(options.Self.Host, options.Events),
		storeCalls:       make(chan struct{}, maxStoreCalls),
		firstSerial:      uint64(options.Clock.Now().UnixMilli()),
		revisions:        map[string]store.Revision{store.ConfigKey: 0},
		members:          map[model.HostID]Member{},
		nextConfirmation: make(chan struct{}),
		everListed:       map[model.HostID]bool{},
		localChanges:     localChanges{announcedEpochs: map[model.AvailabilityZoneID]announcement{}},
		random:           rand.New(rand.NewPCG(options.Seed, options.Seed)),
	}
	s.peers = newPeers(options.Self.AdminAddress, options.Seeds)
	s.viewState.view.Serial = s.firstSerial
	s.metrics = newSyncerMetrics(s, options.Metrics)
	return s
}

// Run maintains the view until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){s.watchLoop, s.confirmLoop, s.hostsLoop, s.peersLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Confirmation implements Source.
func (s *Syncer) Confirmation() Confirmation {
	now := s.Clock.Now()
	_, outage := s.outage(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return Confirmation{
		ConfirmedAt:     later(s.storeConfirmedAt, s.peerConfirmedAt),
		StoreReachable:  s.storeReachable(now),
		OutageConfirmed: outage,
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// storeReachable reports whether the store has confirmed the view within MaxConfirmationAge.
// The caller holds s.mu.
func (s *Syncer) storeReachable(now time.Time) bool {
	return now.Sub(s.storeConfirmedAt) <= MaxConfirmationAge
}

// mayReachStore returns whether this host reports to its peers that it may reach the store. It
// is false only when this host is certain that no change was accepted that its peers may not
// know of.
func (s *Syncer) mayReachStore(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmedAt := later(s.storeConfirmedAt, s.peerConfirmedAt)
	return s.storeReachable(now) || s.mayLackLocalChange() || s.peers.hasUnaccountedRestart(confirmedAt)
}

// runEvery calls do at once and then at every interval until ctx ends.
func (s *Syncer) runEvery(ctx context.Context, interval time.Duration, do func()) {
	ticker := s.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		do()
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// applyConfig applies a stored configuration with a higher version. It returns false when the
// value is invalid or its version is lower than the current one.
func (s *Syncer) applyConfig(stored config.Stored) bool {
	current := s.Current().Config.Version
	if stored.Version <= current {
		return stored.Version == current
	}
	cluster, err := stored.Cluster()
	if err != nil {
		s.Events.Record(event.ConfigRefused, s.subject(), err.Error())
		return false
	}
	s.update(func(next *View) bool {
		if next.Config.Version >= cluster.Version {
			return false
		}
		next.Config = cluster
		next.ConfigText = []byte(stored.Text)
		return true
	})
	return true
}

func (s *Syncer) subject() event.Subject { return event.Subject{Host: string(s.Self.Host)} }

func (s *Syncer) hostsLoop(ctx context.Context) {
	if s.Hosts == nil {
		return
	}
	s.runEvery(ctx, hostListInterval, func() {
		timeoutCtx, cancel := clockwork.WithTimeout(ctx, s.Clock, hostListTimeout)
		defer cancel()
		hosts, err := s.Hosts.List(timeoutCtx)
		if err != nil {
			s.metrics.hostListFailures.Inc()
			return
		}
		s.applyHosts(hosts)
	})
}

func (s *Syncer) applyHosts(hosts hostlist.Hosts) {
	s.mu.Lock()
	unchanged := hosts.Tag != "" && hosts.Tag == s.hostList.Tag
	s.hostList = hosts
	s.hostListReadAt = s.Clock.Now()
	for _, host := range hosts.EntryHosts {
		s.everListed[host.Host] = true
	}
	s.mu.Unlock()
	if unchanged {
		return
	}
	digest := hostsDigest(hosts.Workers, hosts.Executors)
	s.update(func(next *View) bool {
		if next.HostsDigest == digest {
			return false
		}
		next.Workers = hosts.Workers
		next.Executors = hosts.Executors
		next.HostsDigest = digest
		return true
	})
}
