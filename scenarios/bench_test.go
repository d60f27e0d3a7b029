package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/ctl"
	"github.com/chervilrun/chervilrun/internal/localcluster"
)

const (
	// limit bounds every wait; a wait ends as soon as its condition holds.
	limit = 60 * time.Second
	poll  = 20 * time.Millisecond
)

type benchKey struct{}

// bench is the deployment of one script.
type bench struct {
	dir        string
	cluster    *localcluster.Cluster
	deployment deployment
	entryHosts int
	jobs       map[string]string
	load       *load
	// outAt is when a zone was reported taken out, in nanoseconds, by zone.
	outAt map[string]int64
}

// deployment holds the tokens and services of an example configuration.
type deployment struct {
	name, operator string
	zones          []string
}

var deployments = map[string]deployment{
	"chikushi": {
		name:     "chikushi",
		operator: "haruka-token",
		zones:    []string{"fukuoka", "kumamoto", "kagoshima"},
	},
	"vesofeny": {
		name:     "vesofeny",
		operator: "dora-token",
		zones:    []string{"kecskemet", "szeged", "debrecen", "szolnok"},
	},
}

func of(ts *testscript.TestScript) *bench { return ts.Value(benchKey{}).(*bench) }

// close ends the processes and shows their logs when the script has failed.
func (b *bench) close(t testscript.T) {
	if b.load != nil {
		b.load.end()
	}
	if b.cluster == nil {
		return
	}
	if err := b.cluster.Close(); err != nil {
		t.Log(err)
	}
}

// until polls until the condition holds; the script fails with why when it never does.
func until(ts *testscript.TestScript, what string, holds func() error) {
	deadline := time.Now().Add(limit)
	for {
		err := holds()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s: %v", what, err)
		}
		time.Sleep(poll)
	}
}

func (b *bench) start(name string, hosts int, links bool) error {
	d, known := deployments[name]
	if !known {
		return errors.Errorf("no deployment %q", name)
	}
	logs := filepath.Join(b.dir, "logs")
	if err := os.MkdirAll(logs, 0o700); err != nil {
		return err
	}
	b.deployment = d
	b.entryHosts = hosts
	b.cluster = localcluster.New(bin, logs, localcluster.Topology{Deployment: name, Zones: d.zones, Hosts: hosts, Links: links})
	return b.cluster.Start(context.Background(), "*")
}

// applyExample prints the example configuration and submits it, again while the host
// says that a later try may succeed.
func (b *bench) applyExample() error {
	text, err := exec.Command(filepath.Join(bin, b.deployment.name)).Output()
	if err != nil {
		return errors.Wrap(err, "operator program")
	}
	path := filepath.Join(b.dir, "config.toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	for deadline := time.Now().Add(limit); ; time.Sleep(poll) {
		_, err = b.ctl("host1", localcluster.BootstrapToken, "config", "apply", "-base", "0", path)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != ctl.ExitUnavailable {
			return err
		}
	}
}

// ctl runs chervilctl against the admin and entry processes of a host.
func (b *bench) ctl(host, token string, args ...string) (string, error) {
	command := exec.Command(filepath.Join(bin, "chervilctl"), args...)
	command.Env = append(os.Environ(),
		"CHERVILCTL_ADDRESS=http://"+b.cluster.Address(host+"/admin"),
		"CHERVILCTL_ENTRY=http://"+b.cluster.Address(host+"/entry"),
		"CHERVILCTL_TOKEN="+token,
	)
	output, err := command.CombinedOutput()
	return string(output), errors.Wrapf(err, "chervilctl %v: %s", args, output)
}

// client returns a client of a host; the organisation's token is its name and "-token".
func (b *bench) client(host, organisation string) *client.Client {
	return &client.Client{BaseURL: "http://" + b.cluster.Address(host+"/entry"), Token: organisation + "-token"}
}

func (b *bench) status(host string) (adminapi.StatusResponse, error) {
	var status adminapi.StatusResponse
	err := b.admin(host, "status", &status)
	return status, err
}

func (b *bench) admin(host, path string, into any) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+b.cluster.Address(host+"/admin")+adminapi.Prefix+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+b.deployment.operator)
	return call(request, into)
}

func (b *bench) get(name, path string, into any) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+b.cluster.Address(name)+path, nil)
	if err != nil {
		return err
	}
	return call(request, into)
}

func (b *bench) post(name, path string, body []byte) error {
	return b.send(http.MethodPost, name, path, body)
}

func (b *bench) put(name, path string, body []byte) error {
	return b.send(http.MethodPut, name, path, body)
}

func (b *bench) send(method, name, path string, body []byte) error {
	request, err := http.NewRequest(method, "http://"+b.cluster.Address(name)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	return call(request, nil)
}

var httpClient = &http.Client{Timeout: 10 * time.Second}

func call(request *http.Request, into any) error {
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s: %s", response.Status, text)
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(text, into), string(text))
}

func atoi(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		ts.Fatalf("%q is not a number", text)
	}
	return n
}

func must(ts *testscript.TestScript, err error) {
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

func describe(err error) string {
	if err == nil {
		return "done"
	}
	var failed *client.Error
	if errors.As(err, &failed) {
		return fmt.Sprintf("%s %s", failed.Kind, failed.Reason)
	}
	return err.Error()
}
