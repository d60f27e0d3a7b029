package rapidseed_test

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEveryRandomisedTestFixesItsSeed finds packages whose tests use rapid but don't
// import this package.
func TestEveryRandomisedTestFixesItsSeed(t *testing.T) {
	const format = `{{.ImportPath}} {{join .TestImports ","}},{{join .XTestImports ","}}`
	list := exec.Command("go", "list", "-f", format, "github.com/chervilrun/chervilrun/...")
	output, err := list.Output()
	require.NoError(t, err)
	for _, line := range strings.Split(strings.TrimSpace(string(output)), "\n") {
		if strings.Contains(line, "pgregory.net/rapid") {
			require.Contains(t, line, "internal/rapidseed", "a test uses rapid without a fixed seed")
		}
	}
}
