package settings_test

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/settings"
)

type testSettings struct {
	listen string
	peers  []string
	wait   time.Duration
	secret string
}

func newSet(target *testSettings) *settings.Set {
	s := settings.New("example", "an example", io.Discard)
	s.Address(&target.listen, "listen", "127.0.0.1:0", "address")
	s.Addresses(&target.peers, "peers", "addresses of peers")
	s.Duration(&target.wait, "wait", time.Second, time.Millisecond, time.Minute, "time")
	s.Secret(&target.secret, "secret", "secret")
	return s
}

func TestFlagsOverrideTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	text := "listen = '127.0.0.1:80'\npeers = '127.0.0.1:1, 127.0.0.1:2'\nwait = '5s'\nsecret = '0123456789abcdef'\n"
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	var got testSettings
	require.NoError(t, newSet(&got).Parse([]string{"-config", path, "-wait", "7s"}))
	require.Equal(t, testSettings{"127.0.0.1:80", []string{"127.0.0.1:1", "127.0.0.1:2"}, 7 * time.Second, "0123456789abcdef"}, got)
}

func TestEveryWrongSettingIsReported(t *testing.T) {
	var got testSettings
	err := newSet(&got).Parse([]string{"-listen", "here", "-peers", "there", "-wait", "2h", "-secret", "short"})
	var invalid settings.InvalidList
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid, 4)
	require.Contains(t, err.Error(), `setting listen is "here", expected an address IP:port`)
	require.NotContains(t, err.Error(), "short")
}

func TestUnknownKeyIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	require.NoError(t, os.WriteFile(path, []byte("lisden = '127.0.0.1:80'\n"), 0o600))
	var got testSettings
	err := newSet(&got).Parse([]string{"-config", path, "-secret", "0123456789abcdef"})
	require.ErrorContains(t, err, "lisden")
}

func TestHelpAndVersion(t *testing.T) {
	var got testSettings
	require.ErrorIs(t, newSet(&got).Parse([]string{"-help"}), settings.ErrHelp)
	require.ErrorIs(t, newSet(&got).Parse([]string{"-version"}), settings.ErrVersion)
}

func TestHash(t *testing.T) {
	var hash string
	parse := func(text string) error {
		s := settings.New("example", "an example", io.Discard)
		s.SHA256(&hash, "hash", "hash")
		return s.Parse([]string{"-hash", text})
	}
	require.NoError(t, parse(""))
	require.NoError(t, parse("e97260c184018ed0d880e66268c677e1a69c7fee81b08d3e4af4cdd9871874c9"))
	require.ErrorContains(t, parse("e972"), `setting hash is "e972"`)
	require.Error(t, parse("E97260C184018ED0D880E66268C677E1A69C7FEE81B08D3E4AF4CDD9871874C9"))
}
