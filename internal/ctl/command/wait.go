package command

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/ctl"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
)

const (
	defaultWait  = 10 * time.Second
	pollInterval = 200 * time.Millisecond
)

func declareWait(flags *flag.FlagSet, wait *time.Duration) {
	flags.DurationVar(wait, "wait", defaultWait, "maximum `time` to wait until every host uses the change; 0 means no wait")
}

// waitForRollout waits until every member reports that it uses version or a later one.
func (p *program) waitForRollout(ctx context.Context, version model.ConfigVersion, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	deadline := p.Clock.Now().Add(wait)
	for {
		var status adminapi.StatusResponse
		err := p.admin.Get(ctx, "status", nil, &status)
		lagging := laggingMembers(status, version)
		if err == nil && len(lagging) == 0 {
			fmt.Fprintf(p.Stderr, "in force on all %d hosts\n", len(status.Members))
			return nil
		}
		if version == firstVersion && isDenied(err) {
			fmt.Fprintln(p.Stderr, "in force on the host that was asked; the bootstrap token is no longer valid, use an operator's token from now on")
			return nil
		}
		if !p.Clock.Now().Before(deadline) {
			return rolloutIncomplete(version, lagging, err)
		}
		p.Clock.Sleep(pollInterval)
	}
}

// firstVersion is the only version that can be accepted with the bootstrap token.
const firstVersion = 1

func isDenied(err error) bool {
	var failed *ctl.Failure
	return errors.As(err, &failed) && failed.Reason == outcome.ReasonUnauthenticated
}

// laggingMembers describes the members that are not known to use version or a later one.
func laggingMembers(status adminapi.StatusResponse, version model.ConfigVersion) []string {
	var lagging []string
	for _, member := range status.Members {
		switch {
		case !member.State.Reachable:
			lagging = append(lagging, fmt.Sprintf("%s does not answer", member.Host))
		case member.State.ConfigVersion < version:
			lagging = append(lagging, fmt.Sprintf("%s uses version %d", member.Host, member.State.ConfigVersion))
		}
	}
	return lagging
}

func rolloutIncomplete(version model.ConfigVersion, lagging []string, err error) error {
	message := fmt.Sprintf("version %d is accepted, but not yet seen on every host: %s", version, strings.Join(lagging, ", "))
	if err != nil {
		message = fmt.Sprintf("version %d is accepted, but the status can't be read: %v", version, err)
	}
	return &ctl.RolloutIncompleteError{Message: message}
}
