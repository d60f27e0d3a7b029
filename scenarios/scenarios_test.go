// Package scenarios holds fault-injection tests with separate processes: scripts in
// testdata start a deployment on loopback, inject faults and check the outcomes and
// invariants. The commands of the scripts are the functions cmd... of this package.
package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// bin is the folder of the built programs.
var bin string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chervilrun-scenarios-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...", "../operator/examples/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			b := &testbed{dir: env.WorkDir, jobs: map[string]string{}}
			env.Values[testbedKey{}] = b
			env.Defer(func() { b.close(env.T()) })
			env.Setenv("PATH", bin+string(filepath.ListSeparator)+env.Getenv("PATH"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cluster":      cmdCluster,
			"ctl":          cmdCtl,
			"process":      cmdProcess,
			"fault":        cmdFault,
			"request":      cmdRequest,
			"submit":       cmdSubmit,
			"accept":       cmdAccept,
			"await":        cmdAwait,
			"reach":        cmdReach,
			"cancel":       cmdCancel,
			"owner":        cmdOwner,
			"load":         cmdLoad,
			"invariants":   cmdInvariants,
			"zone":         cmdZone,
			"hosts":        cmdHosts,
			"awaitversion": cmdAwaitVersion,
			"burst":        cmdBurst,
			"breaklink":    cmdBreakLink,
			"newowner":     cmdNewOwner,
			"restorelinks": cmdRestoreLinks,
			"cancelburst":  cmdCancelBurst,
			"awaitburst":   cmdAwaitBurst,
			"executor":     cmdExecutor,
		},
	})
}
