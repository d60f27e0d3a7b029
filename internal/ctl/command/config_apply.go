package command

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/ctl"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
)

// noBase is the value of -base when it is not set, which is allowed only for the first
// configuration.
const noBase = -1

func (p *program) configApply() *ffcli.Command {
	var base int64
	var wait time.Duration
	return p.leaf(spec{
		usage: "config apply FILE",
		help:  "submit a configuration",
		declare: func(flags *flag.FlagSet) {
			flags.Int64Var(&base, "base", noBase, "`version` that the text is based on, as printed by config diff; required unless this is the first configuration")
			declareWait(flags, &wait)
		},
		exec: func(ctx context.Context, args []string) error {
			text, err := p.readFile(args[0])
			if err != nil {
				return err
			}
			proposed, err := parse(text)
			if err != nil {
				return err
			}
			if base == noBase {
				if err := p.checkNoneInForce(ctx); err != nil {
					return err
				}
				base = 0
			}
			response, err := p.apply(ctx, model.ConfigVersion(base), proposed)
			if err != nil {
				return err
			}
			if err := p.printChange(fmt.Sprintf("accepted as version %d", response.Version), response); err != nil {
				return err
			}
			return p.waitForRollout(ctx, response.Version, wait)
		},
	})
}

// checkNoneInForce returns an error when a configuration is in force. Its version is not
// taken as the default base, since the text may be based on an older version and would
// then revert the changes made since.
func (p *program) checkNoneInForce(ctx context.Context) error {
	current, err := p.currentConfig(ctx)
	if err != nil {
		return err
	}
	if current.Version == 0 {
		return nil
	}
	return &ctl.UsageError{Message: fmt.Sprintf(
		"version %d is in force: review the differences with \"config diff\", then set -base to the version that it prints", current.Version)}
}

// apply submits a configuration. When the response is lost, it reads the configuration
// back: if the text is in force, the change succeeded, no matter which call made it.
func (p *program) apply(ctx context.Context, base model.ConfigVersion, proposed *config.Cluster) (adminapi.ChangeResponse, error) {
	text := config.Canonical(proposed)
	response, err := p.admin.PutConfig(ctx, base, text)
	var failed *ctl.Failure
	if !errors.As(err, &failed) || failed.Outcome != outcome.Unknown {
		return response, err
	}
	var inForce adminapi.ConfigResponse
	if readErr := p.admin.Get(ctx, "config", nil, &inForce); readErr != nil {
		return response, err
	}
	if inForce.Version > base && inForce.Text == string(text) {
		return adminapi.ChangeResponse{Version: inForce.Version, Changes: []config.Change{}}, nil
	}
	return response, err
}
