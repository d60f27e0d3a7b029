package view

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/rpc"
)

// Intervals and timeouts of the client.
const (
	// longPollWait is how long a server may hold a request while its view is unchanged.
	longPollWait = time.Second
	// pollTimeout is the longest wait for a response.
	pollTimeout = 2 * time.Second
	// pollBackoff is the wait after all servers have failed.
	pollBackoff = 200 * time.Millisecond
	// localRetryInterval is how long another host's server is used before the local one is
	// tried again.
	localRetryInterval = 10 * time.Second
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Host model.HostID
	// AdminAddress is the address of the local host's admin process.
	AdminAddress string
	// Seeds are the admin addresses of other hosts, tried after those of the members.
	Seeds  []string
	Clock  clockwork.Clock
	Events *event.Recorder
	// Dial returns a Relay client for an admin address.
	Dial func(address string) rpc.Relay
}

// Client provides the view to processes other than chervil-admin. It polls the admin
// process of its own host and, while that does not respond, those of other hosts. It
// implements Source.
type Client struct {
	*viewState
	ClientOptions
	freshness *freshness

	// server is the server in use since serverSince, and serial the serial of the view last
	// received from it. Only Run uses them.
	server      string
	serial      uint64
	serverSince time.Time

	mu sync.Mutex
	// confirmedAt and outageAt are times of the local clock.
	confirmedAt    time.Time
	outageAt       time.Time
	storeReachable bool
}

// NewClient returns a client; Run starts it.
func NewClient(options ClientOptions) *Client {
	return &Client{
		viewState:     newViewState(options.Host, options.Events),
		ClientOptions: options,
		freshness:     newFreshness(options.Host, options.Events),
		server:        options.AdminAddress,
	}
}

// Confirmation implements Source.
func (c *Client) Confirmation() Confirmation {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return Confirmation{
		ConfirmedAt:     c.confirmedAt,
		StoreReachable:  c.storeReachable,
		OutageConfirmed: !c.outageAt.IsZero() && now.Sub(c.outageAt) <= MaxConfirmationAge,
	}
}

// Run polls for the view until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.poll(ctx, c.server) {
			c.returnToLocalServer()
			continue
		}
		c.switchToNext(ctx)
		c.freshness.observe(c.Confirmation(), c.Clock.Now())
	}
}

// returnToLocalServer switches back to the local server after localRetryInterval.
func (c *Client) returnToLocalServer() {
	if c.server != c.AdminAddress && c.Clock.Since(c.serverSince) > localRetryInterval {
		c.switchTo(c.AdminAddress)
	}
}

func (c *Client) switchTo(server string) {
	c.server = server
	c.serial = 0
	c.serverSince = c.Clock.Now()
}

// switchToNext switches to the next server. After the last one it waits for pollBackoff.
func (c *Client) switchToNext(ctx context.Context) {
	servers := c.servers()
	i := (slices.Index(servers, c.server) + 1) % len(servers)
	c.switchTo(servers[i])
	if i != 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-c.Clock.After(pollBackoff):
	}
}

// servers returns the local server, then those of the members, then the seeds.
func (c *Client) servers() []string {
	servers := []string{c.AdminAddress}
	for _, member := range c.Current().Members {
		servers = append(servers, member.AdminAddress)
	}
	servers = append(servers, c.Seeds...)
	seen := map[string]bool{}
	return slices.DeleteFunc(servers, func(address string) bool {
		duplicate := seen[address] || address == ""
		seen[address] = true
		return duplicate
	})
}

// poll sends one request to the server; it returns false when there is no usable response.
func (c *Client) poll(ctx context.Context, server string) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, pollTimeout)
	defer cancel()
	view := c.Current()
	sent := c.Clock.Now()
	response, err := c.Dial(server).WatchView(ctx, &rpc.WatchViewRequest{
		KnownSerial:        c.serial,
		WaitMs:             longPollWait.Milliseconds(),
		KnownHostsDigest:   view.HostsDigest,
		KnownConfigVersion: uint64(view.Config.Version),
	})
	if err != nil {
		return false
	}
	if message := response.GetView(); message != nil && !c.applyView(message, response) {
		return false
	}
	c.serial = response.GetSerial()
	c.applyConfirmation(response, sent)
	return true
}

// applyView applies a view from a server. It keeps the local configuration and epochs
// where the server's are older, and returns false when the configuration is invalid.
func (c *Client) applyView(message *rpc.View, response *rpc.WatchViewResponse) bool {
	stored := config.Stored{Version: model.ConfigVersion(message.GetConfigVersion()), Text: string(message.GetConfigToml())}
	var cluster *config.Cluster
	if stored.Version > c.Current().Config.Version {
		var err error
		if cluster, err = stored.Cluster(); err != nil {
			c.Events.Record(event.ConfigRefused, event.Subject{Host: string(c.Host)}, err.Error())
			return false
		}
	}
	c.update(func(next *View) bool {
		if cluster != nil {
			next.Config = cluster
			next.ConfigText = message.GetConfigToml()
		}
		for zone, epoch := range message.GetEpochs() {
			next.Epochs, _ = raiseEpoch(next.Epochs, model.AvailabilityZoneID(zone), model.Epoch(epoch))
		}
		next.Members = membersOf(message.GetMembers())
		next.Owners = ownersOf(message.GetOwners())
		if !response.GetHostsUnchanged() {
			next.Workers = workersOf(message.GetWorkers())
			next.Executors = executorsOf(message.GetExecutors())
			next.HostsDigest = response.GetHostsDigest()
		}
		return true
	})
	return true
}

// applyConfirmation applies the confirmation in a response to a request sent at the given time.
func (c *Client) applyConfirmation(response *rpc.WatchViewResponse, sent time.Time) {
	respondedAt := sent.Add(milliseconds(response.GetHeldMs()))
	c.mu.Lock()
	c.confirmedAt = later(c.confirmedAt, respondedAt.Add(-milliseconds(response.GetConfirmedAgeMs())))
	c.outageAt = time.Time{}
	if response.GetOutageConfirmed() {
		c.outageAt = respondedAt.Add(-milliseconds(response.GetOutageAgeMs()))
	}
	c.storeReachable = response.GetStoreReachable()
	c.mu.Unlock()
	c.freshness.observe(c.Confirmation(), c.Clock.Now())
}

// announceTimeout limits a call of Announce.
const announceTimeout = 500 * time.Millisecond

// Announce reports to the local admin process that an epoch is about to be written, or,
// when withdrawn, that the write had no effect.
func (c *Client) Announce(ctx context.Context, zone model.AvailabilityZoneID, epoch model.Epoch, withdrawn bool) error {
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, announceTimeout)
	defer cancel()
	_, err := c.Dial(c.AdminAddress).Announce(ctx, &rpc.AnnounceRequest{
		Zone:      string(zone),
		Epoch:     uint64(epoch),
		Withdrawn: withdrawn,
	})
	return errors.Wrap(err, "announce")
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
