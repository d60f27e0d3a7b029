// Command mutants checks that the tests can fail (mutation testing): it disables one
// mechanism at a time in a scratch copy of the code and expects the test of this
// mechanism to fail. With arguments it runs only the mutants whose name contains one of
// them.
package main

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

//go:embed mutants.toml
var tableTOML []byte

const testTimeout = 10 * time.Minute

// mutant is a change of the code that disables one mechanism.
type mutant struct {
	Name string `toml:"name"`
	File string `toml:"file"`
	// Old must occur exactly once in File; it is replaced by New.
	Old     string `toml:"old"`
	New     string `toml:"new"`
	Package string `toml:"package"`
	// Test is the -run pattern of the tests, at least one of which must fail.
	Test string `toml:"test"`
}

func load() ([]mutant, error) {
	var list struct {
		Mutant []mutant `toml:"mutant"`
	}
	err := toml.Unmarshal(tableTOML, &list)
	return list.Mutant, errors.Wrap(err, "mutants.toml")
}

// mutate returns the text of File with Old replaced by New.
func (m mutant) mutate(root string) ([]byte, error) {
	text, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return nil, errors.Wrap(err, m.Name)
	}
	if n := bytes.Count(text, []byte(m.Old)); n != 1 {
		return nil, errors.Errorf("%s: %q occurs %d times in %s, expected once", m.Name, m.Old, n, m.File)
	}
	return bytes.Replace(text, []byte(m.Old), []byte(m.New), 1), nil
}

func main() {
	survivors, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutants:", err)
		os.Exit(1)
	}
	if survivors > 0 {
		fmt.Fprintf(os.Stderr, "mutants: %d were not noticed\n", survivors)
		os.Exit(1)
	}
}

func run(patterns []string) (survivors int, err error) {
	mutants, err := load()
	if err != nil {
		return 0, err
	}
	scratch, err := os.MkdirTemp("", "chervilrun-mutants-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(scratch)
	if err := copyTree(scratch); err != nil {
		return 0, err
	}
	for _, m := range mutants {
		if !matchesAny(m.Name, patterns) {
			continue
		}
		noticed, err := m.runTest(scratch)
		if err != nil {
			return survivors, err
		}
		verdict := "noticed"
		if !noticed {
			verdict = "NOT NOTICED"
			survivors++
		}
		fmt.Printf("%-12s %s (%s %s)\n", verdict, m.Name, m.Package, m.Test)
	}
	return survivors, nil
}

// matchesAny reports whether name contains one of the patterns, or there are none.
func matchesAny(name string, patterns []string) bool {
	for _, pattern := range patterns {
		if strings.Contains(name, pattern) {
			return true
		}
	}
	return len(patterns) == 0
}

// copyTree copies every file tracked by git to the scratch folder.
func copyTree(scratch string) error {
	list, err := exec.Command("git", "ls-files").Output()
	if err != nil {
		return errors.Wrap(err, "git ls-files")
	}
	for _, name := range strings.Fields(string(list)) {
		text, err := os.ReadFile(name)
		if err != nil {
			return errors.Wrap(err, "copy")
		}
		if err := write(filepath.Join(scratch, name), text); err != nil {
			return err
		}
	}
	return nil
}

func write(path string, text []byte) error {
	const dirMode, fileMode = 0o700, 0o600
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return errors.Wrap(err, "copy")
	}
	return errors.Wrap(os.WriteFile(path, text, fileMode), "copy")
}

// runTest applies the mutation, runs the test and restores the file. It reports whether
// the test failed; code that does not build is an error.
func (m mutant) runTest(scratch string) (noticed bool, err error) {
	path := filepath.Join(scratch, m.File)
	original, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	mutated, err := m.mutate(scratch)
	if err != nil {
		return false, err
	}
	if err := write(path, mutated); err != nil {
		return false, err
	}
	defer func() { err = errors.Wrap(firstError(err, write(path, original)), m.Name) }()
	if output, err := goTool(scratch, "build", "./..."); err != nil {
		return false, errors.Errorf("does not build: %s", output)
	}
	output, failed := goTool(scratch, "test", "-count=1", m.Package, "-run", m.Test)
	if failed != nil && !strings.Contains(output, "FAIL") {
		return false, errors.Errorf("test gave no result: %s", output)
	}
	return failed != nil, nil
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func goTool(dir string, args ...string) (output string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, "go", args...)
	command.Dir = dir
	text, err := command.CombinedOutput()
	return string(text), err
}
