package config_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/config"
)

func TestStoredRoundTrip(t *testing.T) {
	stored := config.Stored{}
	for i := range config.MaxHistory + 3 {
		changes := make([]config.Change, config.MaxHistoryChanges+i)
		stored = stored.Next("dora", "a", time.Unix(int64(i), 0).UTC(), []byte(fmt.Sprint("text ", i)), changes)
	}
	require.Len(t, stored.History, config.MaxHistory)
	last := stored.History[config.MaxHistory-1]
	require.Equal(t, stored.Version, last.Version)
	require.Len(t, last.Changes, config.MaxHistoryChanges)

	decoded, err := config.Decode(stored.Encode())
	require.NoError(t, err)
	require.Equal(t, stored, decoded)
	plain, err := json.Marshal(stored)
	require.NoError(t, err)
	decoded, err = config.Decode(plain)
	require.NoError(t, err)
	require.Equal(t, stored, decoded)
	for _, invalid := range [][]byte{nil, []byte("{"), stored.Encode()[:20], {0x1f, 0x8b}} {
		_, err := config.Decode(invalid)
		require.Error(t, err)
	}

	_, complete := stored.ChangesSince(stored.Version - config.MaxHistory)
	require.True(t, complete)
	entries, complete := stored.ChangesSince(1)
	require.False(t, complete)
	require.Len(t, entries, config.MaxHistory)
}

// FuzzDecode checks that an invalid value in the store gives an error instead of a panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("{}"))
	f.Add([]byte(`{"version":1,"text":"format = 1"}`))
	f.Add(config.Stored{Version: 3, Text: "x"}.Encode())
	f.Fuzz(func(t *testing.T, value []byte) {
		stored, err := config.Decode(value)
		if err != nil {
			return
		}
		if cluster, err := stored.Cluster(); err == nil {
			require.Equal(t, stored.Version, cluster.Version)
		}
	})
}
