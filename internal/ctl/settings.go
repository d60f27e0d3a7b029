package ctl

import (
	"flag"
	"fmt"
	"net/url"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/fftoml"
)

// EnvironmentPrefix starts the name of every environment variable that is read, for
// example CHERVILCTL_TOKEN for the setting "token".
const EnvironmentPrefix = "CHERVILCTL"

// The forms of output.
const (
	OutputText = "text"
	OutputJSON = "json"
)

// Settings are the settings that all commands share.
type Settings struct {
	// Address holds URLs of chervil-admin with commas between them.
	Address string
	// Entry is the URL of a chervil-entry.
	Entry string
	// PoolHost is the URL of a host of a pool, for the pool commands; empty when there is none.
	PoolHost string
	// Token is the operator's token.
	Token string
	// CallerToken is the token of an organisation, for the job commands.
	CallerToken string
	// Output is OutputText or OutputJSON.
	Output string
}

// The presets of the addresses.
const (
	presetAddress = "http://127.0.0.1:8081"
	presetEntry   = "http://127.0.0.1:8080"
)

func (s *Settings) declare(flags *flag.FlagSet) {
	flags.StringVar(&s.Address, "address", presetAddress, "`URLs` of chervil-admin with commas between them, tried in order")
	flags.StringVar(&s.Entry, "entry", presetEntry, "`URL` of a chervil-entry, for job commands")
	flags.StringVar(&s.PoolHost, "pool-host", "", "`URL` of a host of a pool at its address for other hosts, for pool commands")
	flags.StringVar(&s.Token, "token", "", "operator's `token`")
	flags.StringVar(&s.CallerToken, "caller-token", "", "organisation's `token`, for job commands")
	flags.StringVar(&s.Output, "o", OutputText, "`form` of the output: text or json")
	flags.String("config", "", "`path` of a TOML file with these settings")
}

// Given collects the shared flags of a command line, wherever they stand in it.
type Given struct{ args []string }

// Declare adds the shared flags to the flags of a command.
func (g *Given) Declare(flags *flag.FlagSet) {
	var presets Settings
	named := flag.NewFlagSet("", flag.ContinueOnError)
	presets.declare(named)
	named.VisitAll(func(f *flag.Flag) {
		flags.Var(&givenValue{given: g, name: f.Name, preset: f.DefValue}, f.Name, f.Usage)
	})
}

// Settings returns the settings from the flags given, the environment and the file
// named by "config", in this order of precedence.
func (g *Given) Settings() (Settings, error) {
	var s Settings
	flags := flag.NewFlagSet("chervilctl", flag.ContinueOnError)
	flags.SetOutput(&strings.Builder{})
	s.declare(flags)
	err := ff.Parse(flags, g.args,
		ff.WithEnvVarPrefix(EnvironmentPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(fftoml.Parser),
	)
	if err != nil {
		return s, &UsageError{Message: err.Error()}
	}
	return s, s.check()
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
		return &UsageError{Message: fmt.Sprintf("setting %s is %q, expected a URL such as %s", key, address, presetAddress)}
	}
	return nil
}

// givenValue notes that a shared flag was given.
type givenValue struct {
	given  *Given
	name   string
	preset string
}

// String returns the preset, which the usage text shows.
func (v *givenValue) String() string { return v.preset }

// Set implements flag.Value.
func (v *givenValue) Set(text string) error {
	v.given.args = append(v.given.args, "-"+v.name+"="+text)
	return nil
}
