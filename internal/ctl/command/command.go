// Package command holds the commands of chervilctl, one a file. Each reads its
// arguments, makes its calls and prints the answer.
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

// Env is what the program runs in.
type Env struct {
	Args   []string
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Clock  clockwork.Clock
	// Random is the source of new tokens; it must not be predictable.
	Random  io.Reader
	Version string
}

// program is one run of chervilctl.
type program struct {
	Env
	given    ctl.Given
	settings ctl.Settings
	admin    *ctl.Admin
	// usage holds what the flags library has printed.
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

// printError prints a failure; with JSON output its problem document goes to standard
// output.
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
		ShortHelp:  "drive chervilrun",
		LongHelp: "Settings come from flags, " + ctl.EnvironmentPrefix + "_* variables or a TOML file.\n" +
			"Exit codes: 0 done, 1 failed, 2 usage, 3 refused, 4 denied, 5 conflict,\n" +
			"6 unavailable (not run), 7 unknown outcome, 8 accepted but not seen on every host.",
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
				return &ctl.UsageError{Message: fmt.Sprintf("there is no command %q; see chervilctl -help", flags.Arg(0))}
			}
			return &ctl.UsageError{Message: "a command is missing; see chervilctl -help"}
		},
	}
}

func (p *program) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(&p.usage)
	p.given.Declare(flags)
	return flags
}

// group returns a command that only holds others.
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
	// usage is the command line after "chervilctl", for example "zone out ZONE"; its
	// words in capitals are the arguments.
	usage string
	help  string
	// declare adds the flags of the command.
	declare func(flags *flag.FlagSet)
	exec    func(ctx context.Context, args []string) error
}

// leaf returns a command that does something. Flags may stand after arguments.
func (p *program) leaf(s spec) *ffcli.Command {
	words := strings.Fields(s.usage)
	first := len(words)
	for i, word := range words {
		if strings.Trim(word, "[]") == strings.ToUpper(strings.Trim(word, "[]")) {
			first = min(first, i)
		}
	}
	flags := p.flags("chervilctl " + strings.Join(words[:first], " "))
	if s.declare != nil {
		s.declare(flags)
	}
	return &ffcli.Command{
		Name:       words[first-1],
		ShortUsage: "chervilctl " + s.usage + " [flags]",
		ShortHelp:  s.help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			args, err := interspersed(flags, args)
			if err != nil {
				return err
			}
			if err := checkArguments(words[first:], args); err != nil {
				return err
			}
			if err := p.prepare(); err != nil {
				return err
			}
			return s.exec(ctx, args)
		},
	}
}

// prepare reads the settings once the whole command line is known.
func (p *program) prepare() error {
	settings, err := p.given.Settings()
	if err != nil {
		return err
	}
	p.settings = settings
	p.admin = &ctl.Admin{Addresses: settings.Addresses(), Token: settings.Token, HTTP: ctl.NewHTTP()}
	return nil
}

// interspersed reads the flags that stand after arguments and returns the arguments.
func interspersed(flags *flag.FlagSet, args []string) ([]string, error) {
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

// checkArguments compares the arguments with their names; one in brackets may be missing.
func checkArguments(names, args []string) error {
	needed := 0
	for _, name := range names {
		if !strings.HasPrefix(name, "[") {
			needed++
		}
	}
	if len(args) < needed || len(args) > len(names) {
		return &ctl.UsageError{Message: fmt.Sprintf("expected %d arguments (%s), got %d",
			len(names), strings.Join(names, " "), len(args))}
	}
	return nil
}

// print writes answer as JSON, or else calls text.
func (p *program) print(answer any, text func() error) error {
	if p.settings.Output == ctl.OutputJSON {
		return ctl.PrintJSON(p.Stdout, answer)
	}
	return text()
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
