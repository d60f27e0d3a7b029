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
	// waitTimeout limits every wait for a condition.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

type testbedKey struct{}

// testbed is the deployment of one script.
type testbed struct {
	dir        string
	cluster    *localcluster.Cluster
	deployment deployment
	entryHosts int
	jobs       map[string]string
	load       *loadGenerator
	// takenOutAt is when the zone command last changed a zone, in Unix nanoseconds, by zone.
	takenOutAt map[string]int64
}

// deployment describes an example configuration.
type deployment struct {
	name, operatorToken string
	zones               []string
}

var deployments = map[string]deployment{
	"chikushi": {
		name:          "chikushi",
		operatorToken: "haruka-token",
		zones:         []string{"fukuoka", "kumamoto", "kagoshima"},
	},
	"vesofeny": {
		name:          "vesofeny",
		operatorToken: "dora-token",
		zones:         []string{"kecskemet", "szeged", "debrecen", "szolnok"},
	},
}

func testbedOf(ts *testscript.TestScript) *testbed { return ts.Value(testbedKey{}).(*testbed) }

// close stops the load and ends the processes.
func (b *testbed) close(t testscript.T) {
	if b.load != nil {
		b.load.stop()
	}
	if b.cluster == nil {
		return
	}
	if err := b.cluster.Close(); err != nil {
		t.Log(err)
	}
}

// waitUntil polls the condition until it returns nil; the script fails with what and the
// last error at waitTimeout.
func waitUntil(ts *testscript.TestScript, what string, condition func() error) {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s: %v", what, err)
		}
		time.Sleep(pollInterval)
	}
}

func (b *testbed) start(name string, hosts int, links bool) error {
	d, known := deployments[name]
	if !known {
		return errors.Errorf("unknown deployment %q", name)
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

// applyExample submits the configuration printed by the example program; it retries while
// the host reports that it is unavailable.
func (b *testbed) applyExample() error {
	text, err := exec.Command(filepath.Join(bin, b.deployment.name)).Output()
	if err != nil {
		return errors.Wrap(err, "operator program")
	}
	path := filepath.Join(b.dir, "config.toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(pollInterval) {
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
func (b *testbed) ctl(host, token string, args ...string) (string, error) {
	command := exec.Command(filepath.Join(bin, "chervilctl"), args...)
	command.Env = append(os.Environ(),
		"CHERVILCTL_ADDRESS=http://"+b.cluster.Address(host+"/admin"),
		"CHERVILCTL_ENTRY=http://"+b.cluster.Address(host+"/entry"),
		"CHERVILCTL_TOKEN="+token,
	)
	output, err := command.CombinedOutput()
	return string(output), errors.Wrapf(err, "chervilctl %v: %s", args, output)
}

// client returns a client of a host; an organisation's token is its name with "-token".
func (b *testbed) client(host, organisation string) *client.Client {
	return &client.Client{BaseURL: "http://" + b.cluster.Address(host+"/entry"), Token: organisation + "-token"}
}

func (b *testbed) status(host string) (adminapi.StatusResponse, error) {
	var status adminapi.StatusResponse
	err := b.getAdmin(host, "status", &status)
	return status, err
}

func (b *testbed) getAdmin(host, path string, target any) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+b.cluster.Address(host+"/admin")+adminapi.Prefix+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+b.deployment.operatorToken)
	return doRequest(request, target)
}

func (b *testbed) get(name, path string, target any) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+b.cluster.Address(name)+path, nil)
	if err != nil {
		return err
	}
	return doRequest(request, target)
}

func (b *testbed) post(name, path string, body []byte) error {
	return b.send(http.MethodPost, name, path, body)
}

func (b *testbed) put(name, path string, body []byte) error {
	return b.send(http.MethodPut, name, path, body)
}

func (b *testbed) send(method, name, path string, body []byte) error {
	request, err := http.NewRequest(method, "http://"+b.cluster.Address(name)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	return doRequest(request, nil)
}

var httpClient = &http.Client{Timeout: 10 * time.Second}

// doRequest sends the request and decodes the JSON response into target unless it is nil.
func doRequest(request *http.Request, target any) error {
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
	if target == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(text, target), string(text))
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

// describe returns "done" for nil and the outcome and its reason for an error.
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
