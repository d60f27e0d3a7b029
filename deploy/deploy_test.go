package deploy_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSettingsAreAccepted starts each program with its example settings and one invalid
// flag. The program must reject only the flag.
func TestSettingsAreAccepted(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "../cmd/chervil-admin", "../cmd/chervil-scheduler", "../cmd/chervil-entry")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	files, err := filepath.Glob("*/*.toml")
	require.NoError(t, err)
	// The files in days are fault schedules for the users' test bench, not settings.
	files = slices.DeleteFunc(files, func(file string) bool { return filepath.Dir(file) == "days" })
	require.Len(t, files, 6)
	for _, file := range files {
		program := "chervil-" + strings.TrimSuffix(filepath.Base(file), ".toml")
		command := exec.Command(filepath.Join(bin, program), "-config", file, "-host", "h", "-zone", "z",
			"-cluster-secret", "0123456789abcdef", "-listen", "wrong")
		command.Env = []string{}
		output, err := command.CombinedOutput()
		var exit *exec.ExitError
		require.True(t, errors.As(err, &exit), "%s: %v", file, err)
		require.Equal(t, 2, exit.ExitCode(), "%s: %s", file, output)
		require.Equal(t, program+`: setting listen is "wrong", expected an address IP:port`, strings.TrimSpace(string(output)), file)
	}
}

// TestSettingsFilesOfUnitsExist checks that the settings files named in the units exist.
func TestSettingsFilesOfUnitsExist(t *testing.T) {
	units, err := filepath.Glob("systemd/*.service")
	require.NoError(t, err)
	require.Len(t, units, 3)
	for _, unit := range units {
		text, err := os.ReadFile(unit)
		require.NoError(t, err)
		program := strings.TrimSuffix(filepath.Base(unit), ".service")
		file := strings.TrimPrefix(program, "chervil-") + ".toml"
		require.Contains(t, string(text), "ExecStart=/usr/local/bin/"+program+" -config /etc/chervil/"+file)
		require.FileExists(t, filepath.Join("chikushi", file))
	}
}
