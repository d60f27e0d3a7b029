// Package scripts tests the scripts that CI runs.
package scripts

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// runUnit runs unit.sh on a module of two packages, whose tests fail as told, beside the
// list of known failures.
func runUnit(t *testing.T, knownRed string, files map[string]string) (string, error) {
	t.Helper()
	script, err := filepath.Abs("unit.sh")
	require.NoError(t, err)
	dir := t.TempDir()
	files["go.mod"] = "module example.test/m\n\ngo 1.24\n"
	files["KNOWN-RED.txt"] = knownRed
	for name, text := range files {
		path := filepath.Join(dir, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	command := exec.Command("bash", script)
	command.Dir = dir
	output, err := command.CombinedOutput()
	return string(output), err
}

const (
	failingSubtest = `package a

import "testing"

func TestOuter(t *testing.T) {
	t.Run("one", func(t *testing.T) { t.Error("fails") })
	t.Run("one-more", func(t *testing.T) { FAIL })
}
`
	passingTest = `package b

import "testing"

func TestOuter(t *testing.T) { t.Run("one", func(t *testing.T) { FAIL }) }
`
)

// A listed test is passed over and named; one of another name or package still fails CI.
func TestKnownFailuresArePassedOver(t *testing.T) {
	const listed = "- test: a TestOuter/one\n  seen: it fails\n"
	cases := []struct {
		name, knownRed string
		// a and b are statements in a test that isn't listed: of the same package, and of the
		// same name in another one.
		a, b   string
		passes bool
	}{
		{name: "listed", knownRed: listed, passes: true},
		{name: "not listed", knownRed: "- test: hunt on a site, TestOuter/one\n", passes: false},
		{name: "other test fails", knownRed: listed, a: `t.Error("fails")`, passes: false},
		{name: "other package fails", knownRed: listed, b: `t.Error("fails")`, passes: false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			output, err := runUnit(t, c.knownRed, map[string]string{
				"a/a_test.go": strings.ReplaceAll(failingSubtest, "FAIL", c.a),
				"b/b_test.go": strings.ReplaceAll(passingTest, "FAIL", c.b),
			})
			if c.passes {
				require.NoError(t, err, output)
				require.Contains(t, output, "passing over ^TestOuter$/^one$ of example.test/m/a")
				return
			}
			require.Error(t, err, output)
			require.Contains(t, output, "FAIL")
		})
	}
}
