// Package capacity measures the figures in docs/CAPACITY.md: the cost in bytes and
// processor time of one more worker, task, zone, entry host or configuration change.
// Each measurement runs the production packages against small fakes or whole processes.
package capacity

import (
	"encoding/json"
	"io"
	"runtime"
	"time"

	"github.com/pkg/errors"
)

// Figure is one measured value.
type Figure struct {
	// Role is the program whose cost is measured.
	Role string `json:"role"`
	// Metric names what was measured.
	Metric string `json:"metric"`
	// Per names the unit that the value is divided by, for example "worker"; empty for a total.
	Per   string  `json:"per,omitempty"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Conditions describes the size and state of the measured system.
	Conditions string `json:"conditions,omitempty"`
}

// Measurement is a named function that measures figures.
type Measurement struct {
	Name string
	Run  func() []Figure
}

// All returns every measurement, in the order of docs/CAPACITY.md. bin is the folder of
// the programs that some of them run.
func All(bin string) []Measurement {
	return []Measurement{
		{"hosts", idleDeployments(bin)},
		{"configuration", configurationAndView},
		{"zone", simulatedZones},
		{"renewal", leaseRenewals},
	}
}

// Print runs the measurements and writes their figures as JSON lines.
func Print(output io.Writer, measurements []Measurement) error {
	encoder := json.NewEncoder(output)
	for _, m := range measurements {
		for _, figure := range m.Run() {
			if err := encoder.Encode(figure); err != nil {
				return errors.Wrapf(err, "capacity: %s", m.Name)
			}
		}
	}
	return nil
}

// meanTime returns the mean time of n calls.
func meanTime(n int, call func(i int)) time.Duration {
	start := time.Now()
	for i := range n {
		call(i)
	}
	return time.Since(start) / time.Duration(n)
}

// heapBytes returns the bytes in use on the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
