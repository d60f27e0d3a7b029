package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/ctl"
	"github.com/chervilrun/chervilrun/internal/localcluster"
)

const (
	configMode   = 0o600
	gangTasks    = 8
	shortRunMS   = 500
	longRunMS    = 6000
	jobTimeout   = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// demo runs the steps against one deployment.
type demo struct {
	deployment
	cluster    *localcluster.Cluster
	bin        string
	configPath string
	// jobID is the job submitted last; the timeline is shown for it.
	jobID string
}

// step is one part of the demo; run returns the text to print.
type step struct {
	title string
	run   func(context.Context) (string, error)
}

func (d *demo) run(ctx context.Context) error {
	steps := []step{
		{"start the stand-ins and three entry hosts", d.start},
		{"print the configuration with the operator library", d.printConfig},
		{"wait until the hosts have the platform's host list", d.waitHostList},
		{"check the configuration", d.check},
		{"apply the configuration", d.apply},
		{"wait until every host is ready", d.waitReady},
		{"send a request", d.request},
		{"send a request that may not be repeated, twice with one key, through two hosts", d.requestOnce},
		{"run a gang of 8 adjacent accelerators", d.runGang},
		{"start a long gang that may run only in " + d.zoneTakenOut, d.startPinnedGang},
		{"take " + d.zoneTakenOut + " out of service", d.ctl("zone", "out", d.zoneTakenOut)},
		{"check that the gang is queued again and that a new gang for that zone is refused", d.checkPinnedGangQueued},
		{"return " + d.zoneTakenOut + " to service", d.ctl("zone", "in", d.zoneTakenOut)},
		{"wait until the gang has resumed from its checkpoint and finished", d.waitJobDone},
		{"show the status", d.ctl("status")},
		{"show the timeline of that gang, merged from all processes", d.timeline},
		{"stop all processes gracefully", d.stop},
	}
	for _, s := range steps {
		fmt.Printf("== %s: %s\n", d.name, s.title)
		output, err := s.run(ctx)
		if output != "" {
			fmt.Println(indent(output))
		}
		if err != nil {
			return errors.Wrap(err, s.title)
		}
	}
	return nil
}

func indent(text string) string {
	return "   " + strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n   ")
}

func (d *demo) start(ctx context.Context) (string, error) {
	return strings.Join(d.cluster.Names("*"), " "), d.cluster.Start(ctx, "*")
}

func (d *demo) stop(context.Context) (string, error) { return "", d.cluster.Stop("*") }

func (d *demo) waitReady(ctx context.Context) (string, error) {
	return "", d.cluster.WaitReady(ctx, "*")
}

func (d *demo) printConfig(ctx context.Context) (string, error) {
	text, err := exec.CommandContext(ctx, filepath.Join(d.bin, d.name)).Output()
	if err != nil {
		return "", errors.Wrap(err, "operator program")
	}
	return fmt.Sprintf("%d bytes", len(text)), os.WriteFile(d.configPath, text, configMode)
}

// waitHostList waits until host1 has the list of hosts, without which it can't check
// guarantees.
func (d *demo) waitHostList(ctx context.Context) (string, error) {
	for {
		_, err := d.check(ctx)
		var exit *exec.ExitError
		if err == nil || !errors.As(err, &exit) || exit.ExitCode() != ctl.ExitUnavailable {
			return "", err
		}
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func (d *demo) check(ctx context.Context) (string, error) {
	return d.runCtl(ctx, localcluster.BootstrapToken, "config", "check", d.configPath)
}

// apply submits the first configuration with the bootstrap token.
func (d *demo) apply(ctx context.Context) (string, error) {
	return d.runCtl(ctx, localcluster.BootstrapToken, "config", "apply", "-base", "0", d.configPath)
}

// ctl returns the function of a step that runs chervilctl as the operator.
func (d *demo) ctl(args ...string) func(context.Context) (string, error) {
	return func(ctx context.Context) (string, error) { return d.runCtl(ctx, d.operatorToken, args...) }
}

func (d *demo) runCtl(ctx context.Context, token string, args ...string) (string, error) {
	command := exec.CommandContext(ctx, filepath.Join(d.bin, "chervilctl"), args...)
	command.Env = append(os.Environ(),
		"CHERVILCTL_ADDRESS=http://"+d.cluster.Address("host1/admin"),
		"CHERVILCTL_ENTRY=http://"+d.cluster.Address("host1/entry"),
		"CHERVILCTL_TOKEN="+token,
		"CHERVILCTL_CALLER_TOKEN="+d.callerToken,
	)
	var output bytes.Buffer
	command.Stdout = &output
	command.Stderr = &output
	err := command.Run()
	return output.String(), errors.Wrapf(err, "chervilctl %s", strings.Join(args, " "))
}

func (d *demo) client(host string) *client.Client {
	return &client.Client{BaseURL: "http://" + d.cluster.Address(host+"/entry"), Token: d.callerToken}
}

func (d *demo) request(ctx context.Context) (string, error) {
	response, err := d.client("host1").Do(ctx, client.Request{Service: d.repeatableService, Body: []byte(d.requestBody)})
	if err != nil {
		return "", err
	}
	want := "answer to " + d.requestBody
	if string(response.Body) != want {
		return "", errors.Errorf("the response is %q, expected %q", response.Body, want)
	}
	return fmt.Sprintf("done: %q", response.Body), nil
}

func (d *demo) requestOnce(ctx context.Context) (string, error) {
	request := client.Request{Service: d.onceService, Body: []byte(d.onceBody), IdempotencyKey: "demo-1"}
	first, err := d.client("host1").Do(ctx, request)
	if err != nil {
		return "", err
	}
	second, err := d.client("host2").Do(ctx, request)
	if err != nil {
		return "", err
	}
	if first.Replayed || !second.Replayed || !bytes.Equal(first.Body, second.Body) {
		return "", errors.Errorf("expected one execution and a replay of its response, got %+v and %+v", first, second)
	}
	return fmt.Sprintf("done: %q; the second call got the recorded response", second.Body), nil
}

func (d *demo) gangRequest(runMS int, zones ...string) client.JobRequest {
	return client.JobRequest{
		Service: d.jobService,
		Shape: client.Shape{
			Tasks:     gangTasks,
			PerTask:   client.Resources{Accelerators: 1, MilliCPU: 4000, MemoryMB: 8 << 10},
			Adjacency: "rack",
		},
		Repeatable: true,
		Checkpoint: true,
		Zones:      zones,
		Payload:    fmt.Appendf(nil, `{"run_ms":%d}`, runMS),
	}
}

func (d *demo) runGang(ctx context.Context) (string, error) {
	submitted, err := d.client("host2").SubmitJob(ctx, d.gangRequest(shortRunMS), "gang-1")
	if err != nil {
		return "", err
	}
	d.jobID = submitted.ID
	return d.waitJobDone(ctx)
}

// waitJobDone waits until the job has ended and checks that its state is done.
func (d *demo) waitJobDone(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	var job client.Job
	for !job.Final() {
		next, err := d.client("host3").WaitJob(ctx, d.jobID, job.Revision, time.Second)
		if err != nil {
			return "", errors.Wrapf(err, "job %s, last %+v", d.jobID, job)
		}
		job = next
	}
	if job.State != "done" {
		return "", errors.Errorf("job %s is %s: %+v", job.ID, job.State, job.Outcome)
	}
	took := job.Ended.Sub(job.Accepted).Round(time.Millisecond)
	return fmt.Sprintf("job %s is done in %s, %d tasks, %s after it was accepted", job.ID, job.Zone, gangTasks, took), nil
}

func (d *demo) startPinnedGang(ctx context.Context) (string, error) {
	request := d.gangRequest(longRunMS, d.zoneTakenOut)
	submitted, err := d.client("host1").SubmitJob(ctx, request, "gang-2")
	if err != nil {
		return "", err
	}
	d.jobID = submitted.ID
	return d.waitJobState(ctx, "running")
}

func (d *demo) checkPinnedGangQueued(ctx context.Context) (string, error) {
	state, err := d.waitJobState(ctx, "queued")
	if err != nil {
		return "", err
	}
	_, err = d.client("host1").SubmitJob(ctx, d.gangRequest(shortRunMS, d.zoneTakenOut), "gang-3")
	var refused *client.Error
	if !errors.As(err, &refused) || refused.Kind != client.NotRun {
		return "", errors.Errorf("a gang for a zone out of service: %v, expected not_run", err)
	}
	return state + "\n" + refused.Error(), nil
}

// waitJobState waits until the job is in the state.
func (d *demo) waitJobState(ctx context.Context, state string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	var job client.Job
	for job.State != state {
		next, err := d.client("host3").WaitJob(ctx, d.jobID, job.Revision, time.Second)
		if err != nil {
			return "", errors.Wrapf(err, "job %s, last %+v", d.jobID, job)
		}
		if next.Final() {
			return "", errors.Errorf("job %s is %s: %+v", next.ID, next.State, next.Outcome)
		}
		job = next
	}
	return fmt.Sprintf("job %s is %s", d.jobID, state), nil
}

func (d *demo) timeline(ctx context.Context) (string, error) {
	text, err := d.runCtl(ctx, d.operatorToken, "timeline", "-job", d.jobID)
	if err == nil && !strings.Contains(text, "job done") {
		err = errors.New("timeline has no \"job done\" event")
	}
	return text, err
}
