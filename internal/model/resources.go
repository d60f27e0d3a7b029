package model

import "fmt"

// Resources is an amount that a worker offers or a task requests.
type Resources struct {
	// Accelerators counts whole accelerators (GPUs).
	Accelerators int `json:"accelerators" toml:"accelerators"`
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu" toml:"milli_cpu"`
	// MemoryMB is memory in megabytes (2^20 bytes).
	MemoryMB int64 `json:"memory_mb" toml:"memory_mb"`
}

// Add returns r with other added.
func (r Resources) Add(other Resources) Resources {
	r.Accelerators += other.Accelerators
	r.MilliCPU += other.MilliCPU
	r.MemoryMB += other.MemoryMB
	return r
}

// Sub returns r with other subtracted; the result may be negative.
func (r Resources) Sub(other Resources) Resources {
	r.Accelerators -= other.Accelerators
	r.MilliCPU -= other.MilliCPU
	r.MemoryMB -= other.MemoryMB
	return r
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	r.Accelerators *= n
	r.MilliCPU *= int64(n)
	r.MemoryMB *= int64(n)
	return r
}

// Share returns a share of r, from 0 to 1, rounded down.
func (r Resources) Share(share float64) Resources {
	return Resources{
		Accelerators: int(share * float64(r.Accelerators)),
		MilliCPU:     int64(share * float64(r.MilliCPU)),
		MemoryMB:     int64(share * float64(r.MemoryMB)),
	}
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.Accelerators <= free.Accelerators &&
		r.MilliCPU <= free.MilliCPU &&
		r.MemoryMB <= free.MemoryMB
}

// CountIn returns how many times r fits into free, at most limit.
func (r Resources) CountIn(free Resources, limit int) int {
	n := limit
	if r.Accelerators > 0 {
		n = min(n, free.Accelerators/r.Accelerators)
	}
	if r.MilliCPU > 0 {
		n = min(n, int(free.MilliCPU/r.MilliCPU))
	}
	if r.MemoryMB > 0 {
		n = min(n, int(free.MemoryMB/r.MemoryMB))
	}
	return max(n, 0)
}

// IsNegative reports whether any dimension is below zero.
func (r Resources) IsNegative() bool {
	return r.Accelerators < 0 || r.MilliCPU < 0 || r.MemoryMB < 0
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// String prints r in the form "8 accelerators, 64000m, 131072 MB".
func (r Resources) String() string {
	return fmt.Sprintf("%d accelerators, %dm, %d MB", r.Accelerators, r.MilliCPU, r.MemoryMB)
}
