// Package settings reads the settings of one process from flags, environment
// variables and a TOML file, in this order of precedence. All invalid settings are
// reported together, each with its key, its value and what was expected.
package settings

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/fftoml"
	"github.com/pkg/errors"
)

// EnvironmentPrefix is the prefix of every environment variable that is read, for
// example CHERVIL_LISTEN for the setting "listen".
const EnvironmentPrefix = "CHERVIL"

// ErrHelp is returned by Parse after it has printed the usage text.
var ErrHelp = flag.ErrHelp

// ErrVersion is returned by Parse when the -version flag is set.
var ErrVersion = errors.New("settings: version requested")

// Invalid describes one invalid setting.
type Invalid struct {
	Key      string
	Value    string
	Expected string
}

// Error implements error.
func (i Invalid) Error() string {
	return fmt.Sprintf("setting %s is %q, expected %s", i.Key, i.Value, i.Expected)
}

// InvalidList lists all invalid settings of a process.
type InvalidList []Invalid

// Error returns one line for each invalid setting.
func (l InvalidList) Error() string {
	lines := make([]string, len(l))
	for i, invalid := range l {
		lines[i] = invalid.Error()
	}
	return strings.Join(lines, "\n")
}

// Set declares and parses the settings of one process.
type Set struct {
	flags   *flag.FlagSet
	checks  []func() []Invalid
	version bool
}

// New returns an empty set for the named program; purpose is the first line of its usage text.
func New(program, purpose string, output io.Writer) *Set {
	s := &Set{flags: flag.NewFlagSet(program, flag.ContinueOnError)}
	s.flags.SetOutput(output)
	s.flags.Usage = func() {
		fmt.Fprintf(output, "%s: %s\n\nSettings (flag, %s_* variable or TOML key):\n", program, purpose, EnvironmentPrefix)
		s.flags.PrintDefaults()
	}
	s.flags.String("config", "", "`path` of a TOML file with settings")
	s.flags.BoolVar(&s.version, "version", false, "print the version and exit")
	return s
}

// Parse reads and validates the settings. It returns ErrHelp, ErrVersion, an
// InvalidList, or an error that names the unknown key or the unreadable file.
func (s *Set) Parse(args []string) error {
	err := ff.Parse(s.flags, args,
		ff.WithEnvVarPrefix(EnvironmentPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(fftoml.Parser),
	)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ErrHelp
	case err != nil:
		return errors.Wrap(err, "settings")
	case s.version:
		return ErrVersion
	case s.flags.NArg() > 0:
		return InvalidList{{Key: "argument", Value: s.flags.Arg(0), Expected: "no arguments besides flags"}}
	}
	var invalid InvalidList
	for _, check := range s.checks {
		invalid = append(invalid, check()...)
	}
	if len(invalid) > 0 {
		return invalid
	}
	return nil
}

func (s *Set) check(key string, value func() string, expected string, valid func() bool) {
	s.checks = append(s.checks, func() []Invalid {
		if valid() {
			return nil
		}
		return []Invalid{{Key: key, Value: value(), Expected: expected}}
	})
}

// Text declares a string setting that must not be empty.
func (s *Set) Text(target *string, key, defaultValue, usage string) {
	s.flags.StringVar(target, key, defaultValue, usage)
	s.check(key, func() string { return *target }, "a non-empty text", func() bool { return *target != "" })
}

// OptionalText declares a string setting that may be empty.
func (s *Set) OptionalText(target *string, key, defaultValue, usage string) {
	s.flags.StringVar(target, key, defaultValue, usage)
}

// MinSecretBytes is the minimum length of a shared secret.
const MinSecretBytes = 16

// Secret declares a shared secret; its value is never printed.
func (s *Set) Secret(target *string, key, usage string) {
	s.flags.StringVar(target, key, "", usage)
	expected := fmt.Sprintf("at least %d characters", MinSecretBytes)
	redacted := func() string { return fmt.Sprintf("(%d characters)", len(*target)) }
	s.check(key, redacted, expected, func() bool { return len(*target) >= MinSecretBytes })
}

// sha256Pattern matches a SHA-256 hash in lower-case hexadecimal.
var sha256Pattern = regexp.MustCompile("^[0-9a-f]{64}$")

// SHA256 declares a setting that holds a SHA-256 hash; it may be empty.
func (s *Set) SHA256(target *string, key, usage string) {
	s.flags.StringVar(target, key, "", usage)
	s.check(key, func() string { return *target }, "64 hexadecimal digits in lower case", func() bool {
		return *target == "" || sha256Pattern.MatchString(*target)
	})
}

// Address declares an "IP:port" setting.
func (s *Set) Address(target *string, key, defaultValue, usage string) {
	s.flags.StringVar(target, key, defaultValue, usage)
	s.check(key, func() string { return *target }, "an address IP:port", func() bool { return IsAddress(*target) })
}

// OptionalAddress declares an "IP:port" setting that may be empty.
func (s *Set) OptionalAddress(target *string, key, usage string) {
	s.flags.StringVar(target, key, "", usage)
	valid := func() bool { return *target == "" || IsAddress(*target) }
	s.check(key, func() string { return *target }, "an address IP:port, or an empty value", valid)
}

// IsAddress reports whether text has the form "IP:port".
func IsAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

// Addresses declares a setting that holds a comma-separated list of "IP:port" addresses.
func (s *Set) Addresses(target *[]string, key, usage string) {
	s.flags.Var(&listValue{target}, key, usage)
	s.checks = append(s.checks, func() []Invalid {
		var invalid []Invalid
		for _, address := range *target {
			if !IsAddress(address) {
				invalid = append(invalid, Invalid{Key: key, Value: address, Expected: "comma-separated addresses IP:port"})
			}
		}
		return invalid
	})
}

// URLs declares a setting that holds a comma-separated list of one or more http or
// https URLs.
func (s *Set) URLs(target *[]string, key, usage string) {
	s.flags.Var(&listValue{target}, key, usage)
	const expected = "one or more comma-separated http URLs"
	s.checks = append(s.checks, func() []Invalid {
		if len(*target) == 0 {
			return []Invalid{{Key: key, Expected: expected}}
		}
		var invalid []Invalid
		for _, text := range *target {
			if !isURL(text) {
				invalid = append(invalid, Invalid{Key: key, Value: text, Expected: expected})
			}
		}
		return invalid
	})
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// Duration declares a duration setting within [low, high].
func (s *Set) Duration(target *time.Duration, key string, defaultValue, low, high time.Duration, usage string) {
	s.flags.DurationVar(target, key, defaultValue, usage)
	expected := fmt.Sprintf("a duration from %s to %s", low, high)
	s.check(key, func() string { return target.String() }, expected, func() bool { return low <= *target && *target <= high })
}

// Int declares an integer setting within [low, high].
func (s *Set) Int(target *int, key string, defaultValue, low, high int, usage string) {
	s.flags.IntVar(target, key, defaultValue, usage)
	expected := fmt.Sprintf("an integer from %d to %d", low, high)
	s.check(key, func() string { return fmt.Sprint(*target) }, expected, func() bool { return low <= *target && *target <= high })
}

// Bool declares a boolean setting.
func (s *Set) Bool(target *bool, key string, defaultValue bool, usage string) {
	s.flags.BoolVar(target, key, defaultValue, usage)
}

// listValue is a flag.Value that holds a comma-separated list.
type listValue struct{ target *[]string }

func (l *listValue) String() string {
	if l.target == nil {
		return ""
	}
	return strings.Join(*l.target, ",")
}

func (l *listValue) Set(text string) error {
	*l.target = nil
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			*l.target = append(*l.target, part)
		}
	}
	return nil
}
