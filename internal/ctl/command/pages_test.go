package command_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEveryCommandOfThePagesIsRun checks that the scripts run each command line in the code
// blocks of the operators' pages.
func TestEveryCommandOfThePagesIsRun(t *testing.T) {
	commandsRun := map[string]bool{}
	scripts, err := filepath.Glob("testdata/script/*.txtar")
	require.NoError(t, err)
	for _, script := range scripts {
		for _, line := range strings.Split(readFile(t, script), "\n") {
			if _, line, found := strings.Cut(line, "chervilctl "); found {
				commandsRun[strings.TrimSpace(line)] = true
			}
		}
	}
	pages, err := filepath.Glob("../../../docs/operators/*.md")
	require.NoError(t, err)
	require.NotEmpty(t, pages)
	for _, page := range pages {
		for i, block := range strings.Split(readFile(t, page), "```") {
			for _, line := range strings.Split(block, "\n") {
				command, found := strings.CutPrefix(strings.TrimSpace(line), "chervilctl ")
				if i%2 == 1 && found {
					require.True(t, commandsRun[command], "%s: no script runs: chervilctl %s", page, command)
				}
			}
		}
	}
}

// TestEveryMetricOfTheAlertsExists checks that the code names each metric that the page on
// alerts names.
func TestEveryMetricOfTheAlertsExists(t *testing.T) {
	var code strings.Builder
	err := filepath.WalkDir("../../..", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			code.WriteString(readFile(t, path))
		}
		return err
	})
	require.NoError(t, err)
	metrics := regexp.MustCompile("`(chervil_[a-z_]+)`").FindAllStringSubmatch(readFile(t, "../../../docs/operators/alerts.md"), -1)
	require.NotEmpty(t, metrics)
	for _, metric := range metrics {
		require.Contains(t, code.String(), `"`+metric[1]+`"`)
	}
}

func readFile(t *testing.T, path string) string {
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(text)
}
