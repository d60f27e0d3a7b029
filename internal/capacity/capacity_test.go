package capacity

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMetricsOfAProcessAreRead(t *testing.T) {
	s := roleSample{storeCalls: map[string]float64{}}
	metrics := `# HELP chervil_store_calls_total Calls to the key-value service.
chervil_store_calls_total{kind="read"} 7
chervil_store_calls_total{kind="keepalive"} 2
process_cpu_seconds_total 0.5
process_resident_memory_bytes 1.7e+07
other 3
`
	require.NoError(t, s.addMetrics(strings.NewReader(metrics)))
	require.NoError(t, s.addMetrics(strings.NewReader(metrics)))
	require.Equal(t, map[string]float64{"read": 14, "keepalive": 4}, s.storeCalls)
	require.Equal(t, 1.0, s.cpuSeconds)
	require.Equal(t, 3.4e7, s.residentBytes)
}

// TestZoneRound simulates a small zone and checks the figures that don't depend on the
// machine.
func TestZoneRound(t *testing.T) {
	var output bytes.Buffer
	small := Measurement{"small", func() []Figure { return zoneFigures(zoneSize{workers: 16, tasks: 64}) }}
	require.NoError(t, Print(&output, []Measurement{small}))
	exchanges := 0.0
	for decoder := json.NewDecoder(&output); decoder.More(); {
		var figure Figure
		require.NoError(t, decoder.Decode(&figure))
		require.Contains(t, figure.Conditions, "8 gangs running")
		if figure.Metric == "exchanges" {
			exchanges = figure.Value
		}
	}
	require.InDelta(t, 0.45, exchanges, 0.4, "between the rates, in 1/s, of an idle and a busy worker")
}
