// Package command holds the commands of chervilctl, one in each file. Each reads its
// arguments, makes its calls and prints the response.
package command

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jonboulle/clockwork"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/ctl"
)

// Env is the environment of the program: arguments, streams, clock and random source.
type Env struct {
	Args   []string
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Clock  clockwork.Clock
	// Random is the source of random bytes for new tokens; it must be unpredictable.
	Random  io.Reader
	Version string
}

// program is one run of chervilctl.
type program struct {
	Env
	sharedFlags ctl.SharedFlags
	settings    ctl.Settings
	admin       *ctl.Admin
	// usage holds the usage text that the flag library has printed.
	usage bytes.Buffer
}

// Run runs chervilctl and returns its exit code.
func Run(ctx context.Context, env Env) int {
	p := &program{Env: env}
	err := p.run(ctx)
	var noExec ffcli.NoExecError
	switch {
	case errors.Is(err, flag.ErrHelp):
		_, _ = p.usage.WriteTo(env.Stdout)
		return ctl.ExitOK
	case errors.As(err, &noExec):
		fmt.Fprintln(env.Stderr, "chervilctl: a command is missing; see chervilctl -help")
		return ctl.ExitUsage
	case err != nil:
		p.printError(err)
	}
	return ctl.ExitCode(err)
}

func (p *program) run(ctx context.Context) error {
	root := p.root()
	if err := root.Parse(p.Args); err != nil {
		var noExec ffcli.NoExecError
		if errors.Is(err, flag.ErrHelp) || errors.As(err, &noExec) {
			return err
		}
		return &ctl.UsageError{Message: err.Error()}
	}
	return root.Run(ctx)
}

// printError prints an error to standard error. With JSON output it also prints the problem
// document of a failed call to standard output.
func (p *program) printError(err error) {
	var failed *ctl.Failure
	if errors.As(err, &failed) && p.settings.Output == ctl.OutputJSON {
		_ = ctl.PrintJSON(p.Stdout, failed.ChangeProblem)
	}
	fmt.Fprintln(p.Stderr, "chervilctl:", err)
}

func (p *program) root() *ffcli.Command {
	flags := p.flags("chervilctl")
	version := flags.Bool("version", false, "print the version and exit")
	return &ffcli.Command{
		Name:       "chervilctl",
		ShortUsage: "chervilctl [flags] <command> [flags] [arguments]",
		ShortHelp:  "operate chervilrun",
		LongHelp: "Settings come from flags, " + ctl.EnvironmentPrefix + "_* variables or a TOML file.\n" +
			"Exit codes: 0 done, 1 failed, 2 usage, 3 refused, 4 denied, 5 conflict,\n" +
			"6 unavailable (not run), 7 unknown outcome, 8 accepted but not yet in use on every host.",
		FlagSet: flags,
		Subcommands: []*ffcli.Command{
			p.config(), p.zone(), p.job(), p.org(), p.executor(),
			p.timeline(), p.logs(), p.pool(), p.status(), p.cost(), p.token(),
		},
		Exec: func(context.Context, []string) error {
			if *version {
				fmt.Fprintln(p.Stdout, "chervilctl", p.Version)
				return nil
			}
			if flags.NArg() > 0 {
				return &ctl.UsageError{Message: fmt.Sprintf("unknown command %q; see chervilctl -help", flags.Arg(0))}
			}
			return &ctl.UsageError{Message: "a command is missing; see chervilctl -help"}
		},
	}
}

func (p *program) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(&p.usage)
	p.sharedFlags.Declare(flags)
	return flags
}

// group returns a command that only has subcommands.
func (p *program) group(name, help string, commands ...*ffcli.Command) *ffcli.Command {
	flags := p.flags("chervilctl " + name)
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  "chervilctl " + name + " <command>",
		ShortHelp:   help,
		FlagSet:     flags,
		Subcommands: commands,
		Exec: func(context.Context, []string) error {
			return &ctl.UsageError{Message: fmt.Sprintf("%s: a command is missing or unknown; see chervilctl %s -help", name, name)}
		},
	}
}

// spec declares a command.
type spec struct {
	// usage is the command line after "chervilctl", for example "zone out ZONE"; words in
	// capitals are arguments, and those in brackets are optional.
	usage string
	help  string
	// declare adds the flags of the command; it may be nil.
	declare func(flags *flag.FlagSet)
	exec    func(ctx context.Context, args []string) error
}

// leaf returns a command without subcommands. Its flags may follow its arguments.
func (p *program) leaf(s spec) *ffcli.Command {
	words := strings.Fields(s.usage)
	firstArgument := len(words)
	for i, word := range words {
		if strings.Trim(word, "[]") == strings.ToUpper(strings.Trim(word, "[]")) {
			firstArgument = min(firstArgument, i)
		}
	}
	flags := p.flags("chervilctl " + strings.Join(words[:firstArgument], " "))
	if s.declare != nil {
		s.declare(flags)
	}
	return &ffcli.Command{
		Name:       words[firstArgument-1],
		ShortUsage: "chervilctl " + s.usage + " [flags]",
		ShortHelp:  s.help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseInterspersed(flags, args)
			if err != nil {
				return err
			}
			if err := checkArguments(words[firstArgument:], args); err != nil {
				return err
			}
			if err := p.readSettings(); err != nil {
				return err
			}
			return s.exec(ctx, args)
		},
	}
}

// readSettings reads the settings and creates the client of the operators' API. It must be
// called after all flags have been parsed.
func (p *program) readSettings() error {
	settings, err := p.sharedFlags.Settings()
	if err != nil {
		return err
	}
	p.settings = settings
	p.admin = &ctl.Admin{Addresses: settings.Addresses(), Token: settings.Token, HTTP: ctl.NewHTTP()}
	return nil
}

// parseInterspersed parses the flags between and after the arguments and returns the
// arguments.
func parseInterspersed(flags *flag.FlagSet, args []string) ([]string, error) {
	var arguments []string
	for len(args) > 0 {
		if args[0] == "-" || !strings.HasPrefix(args[0], "-") {
			arguments = append(arguments, args[0])
			args = args[1:]
			continue
		}
		if err := flags.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, &ctl.UsageError{Message: err.Error()}
		}
		args = flags.Args()
	}
	return arguments, nil
}

// checkArguments checks the number of arguments; those whose names are in brackets are
// optional.
func checkArguments(names, args []string) error {
	required := 0
	for _, name := range names {
		if !strings.HasPrefix(name, "[") {
			required++
		}
	}
	if len(args) < required || len(args) > len(names) {
		return &ctl.UsageError{Message: fmt.Sprintf("expected %d arguments (%s), got %d",
			len(names), strings.Join(names, " "), len(args))}
	}
	return nil
}

// print prints value as JSON when JSON output is set, and calls printText otherwise.
func (p *program) print(value any, printText func() error) error {
	if p.settings.Output == ctl.OutputJSON {
		return ctl.PrintJSON(p.Stdout, value)
	}
	return printText()
}

// readFile reads a file; "-" is standard input.
func (p *program) readFile(path string) ([]byte, error) {
	if path == "-" {
		text, err := io.ReadAll(p.Stdin)
		return text, errors.Wrap(err, "standard input")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ctl.UsageError{Message: err.Error()}
	}
	return text, nil
}
