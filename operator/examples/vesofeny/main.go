// Command vesofeny prints the configuration of a small pool in Alföld that an
// engraving shop shares with three other organisations.
package main

import "github.com/chervilrun/chervilrun/operator"

// The tokens are for tests on one machine; a real configuration holds the hashes of
// secret tokens.
var cluster = operator.Cluster{
	Zones: []operator.Zone{
		{ID: "kecskemet", Region: "alfold"},
		{ID: "szeged", Region: "alfold"},
		{ID: "szolnok", Region: "alfold"},
		{ID: "debrecen", Region: "alfold"},
	},
	Organisations: []operator.Organisation{
		{
			ID:     "vesofeny",
			Weight: 3,
			Tokens: []operator.TokenHash{operator.HashToken("vesofeny-token")},
			Guarantees: []operator.Guarantee{
				{Name: "laser-paths", Count: 2, Shape: gang(8, operator.WithinRack)},
				{Name: "previews", Count: 4, Shape: gang(1, operator.WithinWorker)},
			},
		},
		{
			ID:     "tisza",
			Weight: 2,
			Tokens: []operator.TokenHash{operator.HashToken("tisza-token")},
			Guarantees: []operator.Guarantee{
				{Name: "training", Count: 1, Shape: gang(16, operator.WithinZone)},
			},
		},
		{
			ID:     "bugac",
			Tokens: []operator.TokenHash{operator.HashToken("bugac-token")},
			Guarantees: []operator.Guarantee{
				{Name: "render", Count: 1, Shape: gang(4, operator.WithinWorker)},
			},
		},
		{
			ID:              "maros",
			MaxAccelerators: 32,
			Tokens:          []operator.TokenHash{operator.HashToken("maros-token")},
		},
	},
	Services: []operator.Service{
		{ID: "gravir", Organisation: "vesofeny", Repeatable: true, TimeoutMS: 5_000, MaxBodyBytes: 8 << 20},
		{ID: "engrave", Organisation: "vesofeny", TimeoutMS: 60_000, MaxBodyBytes: 8 << 20},
		{ID: "laser-paths", Organisation: "vesofeny", Repeatable: true},
		{ID: "training", Organisation: "tisza", Repeatable: true},
		{ID: "render", Organisation: "bugac", Repeatable: true},
		{ID: "survey", Organisation: "maros", Repeatable: true},
	},
	Operators: []operator.Operator{
		{Name: "dora", Token: operator.HashToken("dora-token")},
		{Name: "bence", Token: operator.HashToken("bence-token")},
	},
}

// gang returns a shape of tasks with one accelerator, 8 cores and 32 GiB each.
func gang(tasks int, adjacency operator.Adjacency) operator.Shape {
	return operator.Shape{
		Tasks:        tasks,
		Adjacency:    adjacency,
		Accelerators: 1,
		MilliCPU:     8000,
		MemoryMB:     32 << 10,
	}
}

func main() { operator.Main(cluster) }
