package localcluster

import (
	"fmt"
	"slices"
	"strings"

	"github.com/chervilrun/chervilrun/internal/auth"
	"github.com/chervilrun/chervilrun/internal/standin/platform"
)

// Names of the stand-ins of the platform, each of which is a process of its own.
const (
	StandinStore = "kv"
	StandinPool  = "pool"
)

var standins = []string{StandinStore, StandinPool}

// commandLine returns the program and the arguments of a process.
func (c *Cluster) commandLine(name string) (program string, args []string) {
	if slices.Contains(standins, name) {
		return c.Program("chervil-standin"), append(c.commonArgs(name, name), c.standinArgs(name)...)
	}
	host, role, _ := strings.Cut(name, "/")
	args = append(c.commonArgs(name, host), c.storeArgs()...)
	switch role {
	case RoleAdmin:
		args = append(args, c.adminArgs(host)...)
	case RoleScheduler:
		args = append(args, "-admin", c.advertised(host+"/"+RoleAdmin), "-entry", c.advertised(host+"/"+RoleEntry), c.seedsArg(host))
	case RoleEntry:
		args = append(args, "-admin", c.advertised(host+"/"+RoleAdmin), c.seedsArg(host))
	}
	return c.Program("chervil-" + role), args
}

func (c *Cluster) commonArgs(name, host string) []string {
	return []string{
		"-host", host,
		"-zone", c.zoneOf(host),
		"-listen", c.Address(name),
		"-advertise", c.advertised(name),
		"-cluster-secret", Secret,
		"-log-level", "debug",
		"-seed", "1",
	}
}

// zoneOf assigns the entry hosts to the zones in turn, and the stand-ins to the first zone.
func (c *Cluster) zoneOf(host string) string {
	var n int
	if _, err := fmt.Sscanf(host, "host%d", &n); err != nil {
		return c.topology.Zones[0]
	}
	return c.topology.Zones[(n-1)%len(c.topology.Zones)]
}

func (c *Cluster) standinArgs(part string) []string {
	return []string{"-part", part, "-deployment", c.topology.Deployment}
}

func (c *Cluster) storeArgs() []string {
	return []string{"-store-urls", "http://" + c.Address(StandinStore)}
}

func (c *Cluster) adminArgs(host string) []string {
	return []string{
		"-host-list-url", "http://" + c.Address(StandinPool) + platform.HostsPrefix,
		"-bootstrap-token-sha256", auth.Hash(BootstrapToken),
		c.seedsArg(host),
	}
}

// seedsArg returns the flag that lists the admin processes of the other hosts.
func (c *Cluster) seedsArg(self string) string {
	var addresses []string
	for host := 1; host <= c.topology.Hosts; host++ {
		if HostName(host) != self {
			addresses = append(addresses, c.advertised(HostName(host)+"/"+RoleAdmin))
		}
	}
	return "-seeds=" + strings.Join(addresses, ",")
}
