// Command chikushi prints the configuration of a small pool in Kyushu that a keg
// return cooperative shares with three other organisations.
package main

import "github.com/chervilrun/chervilrun/operator"

// The tokens are for tests on one machine; a real configuration holds the hashes of
// secret tokens.
var cluster = operator.Cluster{
	Zones: []operator.Zone{
		{ID: "fukuoka", Region: "kyushu"},
		{ID: "kumamoto", Region: "kyushu"},
		{ID: "kagoshima", Region: "kyushu"},
	},
	Organisations: []operator.Organisation{
		{
			ID:     "chikushi",
			Weight: 3,
			Tokens: []operator.TokenHash{operator.HashToken("chikushi-token")},
			Guarantees: []operator.Guarantee{
				{Name: "repricing", Count: 2, Shape: gang(8, operator.WithinRack)},
				{Name: "scanner-checks", Count: 4, Shape: gang(1, operator.WithinWorker)},
			},
		},
		{
			ID:     "genkai",
			Weight: 2,
			Tokens: []operator.TokenHash{operator.HashToken("genkai-token")},
			Guarantees: []operator.Guarantee{
				{Name: "training", Count: 1, Shape: gang(16, operator.WithinZone)},
			},
		},
		{
			ID:     "sakurajima",
			Tokens: []operator.TokenHash{operator.HashToken("sakurajima-token")},
			Guarantees: []operator.Guarantee{
				{Name: "render", Count: 1, Shape: gang(4, operator.WithinWorker)},
			},
		},
		{
			ID:              "aso",
			MaxAccelerators: 32,
			Tokens:          []operator.TokenHash{operator.HashToken("aso-token")},
		},
	},
	Services: []operator.Service{
		{ID: "deposit-ledger", Organisation: "chikushi", Repeatable: true, TimeoutMS: 10_000},
		{ID: "payout", Organisation: "chikushi", TimeoutMS: 20_000},
		{ID: "repricing", Organisation: "chikushi", Repeatable: true},
		{ID: "training", Organisation: "genkai", Repeatable: true},
		{ID: "render", Organisation: "sakurajima", Repeatable: true},
		{ID: "survey", Organisation: "aso", Repeatable: true},
	},
	Operators: []operator.Operator{
		{Name: "haruka", Token: operator.HashToken("haruka-token")},
	},
}

// gang returns a shape of tasks with one accelerator, 4 cores and 8 GiB each.
func gang(tasks int, adjacency operator.Adjacency) operator.Shape {
	return operator.Shape{
		Tasks:        tasks,
		Adjacency:    adjacency,
		Accelerators: 1,
		MilliCPU:     4000,
		MemoryMB:     8 << 10,
	}
}

func main() { operator.Main(cluster) }
