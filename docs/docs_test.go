// Package docs checks the pages against the code.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/chart"
)

func read(t *testing.T, path string) string {
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(text)
}

// sources returns the text of every test file of the project.
func sources(t *testing.T) string {
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, "_test.go") {
			all.WriteString(read(t, path))
		}
		return err
	})
	require.NoError(t, err)
	return all.String()
}

var (
	testName   = regexp.MustCompile(`\bTest[A-Z]\w*`)
	mutantName = regexp.MustCompile(`"([a-z][^"]+)"`)
	code       = regexp.MustCompile("`([a-z_]+)`")
)

// TestFailuresAreShown checks that every test that the page names is there.
func TestFailuresAreShown(t *testing.T) {
	names := testName.FindAllString(read(t, "FAILURES.md"), -1)
	require.NotEmpty(t, names)
	tests := sources(t)
	for _, name := range names {
		require.Contains(t, tests, "func "+name+"(", name)
	}
}

// TestProofsExist checks that every test, scenario and mutant that the page names is there.
func TestProofsExist(t *testing.T) {
	page := read(t, "PROOFS.md")
	tests := sources(t)
	for _, name := range testName.FindAllString(page, -1) {
		require.Contains(t, tests, "func "+name+"(", name)
	}
	mutants := read(t, "../internal/mutants/mutants.toml")
	for _, match := range mutantName.FindAllStringSubmatch(page, -1) {
		require.Contains(t, mutants, `name = "`+match[1]+`"`)
	}
	_, tables, _ := strings.Cut(page, "## The nine points")
	for _, match := range code.FindAllStringSubmatch(tables, -1) {
		require.FileExists(t, "../scenarios/testdata/"+match[1]+".txtar")
	}
}

// TestEveryScenarioIsListed finds scenarios that the page does not mention.
func TestEveryScenarioIsListed(t *testing.T) {
	page := read(t, "PROOFS.md")
	scripts, err := filepath.Glob("../scenarios/testdata/*.txtar")
	require.NoError(t, err)
	for _, script := range scripts {
		name := strings.TrimSuffix(filepath.Base(script), ".txtar")
		require.Contains(t, page, "`"+name+"`")
	}
}

// TestGlossaryNamesEveryConcept checks that each shared type and each state chart has
// its line.
func TestGlossaryNamesEveryConcept(t *testing.T) {
	page := strings.ToLower(read(t, "GLOSSARY.md"))
	for _, name := range chart.Names() {
		require.Contains(t, page, strings.ReplaceAll(name, "_", " "), "chart %s", name)
	}
	files, err := filepath.Glob("../internal/model/*.go")
	require.NoError(t, err)
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		require.NoError(t, err)
		for _, declaration := range file.Decls {
			for _, name := range typeNames(declaration) {
				require.Contains(t, page, strings.ToLower(words(name)), "type model.%s", name)
			}
		}
	}
}

func typeNames(declaration ast.Decl) []string {
	general, ok := declaration.(*ast.GenDecl)
	if !ok {
		return nil
	}
	var names []string
	for _, spec := range general.Specs {
		if typed, ok := spec.(*ast.TypeSpec); ok && typed.Name.IsExported() {
			names = append(names, strings.TrimSuffix(typed.Name.Name, "ID"))
		}
	}
	return names
}

var boundary = regexp.MustCompile(`([a-z])([A-Z])`)

// words splits a name at its capitals.
func words(name string) string { return boundary.ReplaceAllString(name, "$1 $2") }
