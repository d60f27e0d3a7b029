package ctl

import (
	"flag"
	"fmt"
	"net/url"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/fftoml"
)

// EnvironmentPrefix is the prefix of every environment variable that is read, for example
// CHERVILCTL_TOKEN for the setting "token".
const EnvironmentPrefix = "CHERVILCTL"

// Output formats.
const (
	OutputText = "text"
	OutputJSON = "json"
)

// Settings are the settings that all commands share.
type Settings struct {
	// Address is a comma-separated list of URLs of chervil-admin.
	Address string
	// Entry is the URL of a chervil-entry.
	Entry string
	// PoolHost is the URL of a host of a pool, for the pool commands; it may be empty.
	PoolHost string
	// Token is the operator's token.
	Token string
	// CallerToken is an organisation's token, for the job commands.
	CallerToken string
	// Output is OutputText or OutputJSON.
	Output string
}

const (
	defaultAddress = "http://127.0.0.1:8081"
	defaultEntry   = "http://127.0.0.1:8080"
)

func (s *Settings) declare(flags *flag.FlagSet) {
	flags.StringVar(&s.Address, "address", defaultAddress, "comma-separated `URLs` of chervil-admin, tried in order")
	flags.StringVar(&s.Entry, "entry", defaultEntry, "`URL` of a chervil-entry, for job commands")
	flags.StringVar(&s.PoolHost, "pool-host", "", "`URL` of a host of a pool, with the port that serves other hosts, for pool commands")
	flags.StringVar(&s.Token, "token", "", "operator's `token`")
	flags.StringVar(&s.CallerToken, "caller-token", "", "organisation's `token`, for job commands")
	flags.StringVar(&s.Output, "o", OutputText, "output `format`: text or json")
	flags.String("config", "", "`path` of a TOML file with these settings")
}

// SharedFlags collects the flags that all commands share, which may stand before or after
// the name of the command.
type SharedFlags struct{ args []string }

// Declare adds the shared flags to the flags of a command.
func (s *SharedFlags) Declare(flags *flag.FlagSet) {
	var defaults Settings
	shared := flag.NewFlagSet("", flag.ContinueOnError)
	defaults.declare(shared)
	shared.VisitAll(func(f *flag.Flag) {
		flags.Var(&sharedFlag{collected: s, name: f.Name, defaultValue: f.DefValue}, f.Name, f.Usage)
	})
}

// Settings returns the settings from the collected flags, the environment and the file
// named by "config", in this order of precedence.
func (s *SharedFlags) Settings() (Settings, error) {
	var settings Settings
	flags := flag.NewFlagSet("chervilctl", flag.ContinueOnError)
	flags.SetOutput(&strings.Builder{})
	settings.declare(flags)
	err := ff.Parse(flags, s.args,
		ff.WithEnvVarPrefix(EnvironmentPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(fftoml.Parser),
	)
	if err != nil {
		return settings, &UsageError{Message: err.Error()}
	}
	return settings, settings.check()
}

func (s *Settings) check() error {
	for _, address := range s.Addresses() {
		if err := checkURL("address", address); err != nil {
			return err
		}
	}
	if err := checkURL("entry", s.Entry); err != nil {
		return err
	}
	s.Entry = strings.TrimSuffix(s.Entry, "/")
	if s.PoolHost != "" {
		if err := checkURL("pool-host", s.PoolHost); err != nil {
			return err
		}
		s.PoolHost = strings.TrimSuffix(s.PoolHost, "/")
	}
	if s.Output != OutputText && s.Output != OutputJSON {
		return &UsageError{Message: fmt.Sprintf("setting o is %q, expected text or json", s.Output)}
	}
	return nil
}

// Addresses returns the URLs of chervil-admin.
func (s *Settings) Addresses() []string {
	addresses := strings.Split(s.Address, ",")
	for i, address := range addresses {
		addresses[i] = strings.TrimSuffix(strings.TrimSpace(address), "/")
	}
	return addresses
}

func checkURL(key, address string) error {
	u, err := url.Parse(address)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return &UsageError{Message: fmt.Sprintf("setting %s is %q, expected a URL such as %s", key, address, defaultAddress)}
	}
	return nil
}

// sharedFlag is a flag.Value that adds the flag to the collected ones when it is set.
type sharedFlag struct {
	collected    *SharedFlags
	name         string
	defaultValue string
}

// String returns the default value, which the usage text shows.
func (f *sharedFlag) String() string { return f.defaultValue }

// Set implements flag.Value.
func (f *sharedFlag) Set(text string) error {
	f.collected.args = append(f.collected.args, "-"+f.name+"="+text)
	return nil
}
