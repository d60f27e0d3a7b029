// Command measure compares the policies for sharing executor slots between entry hosts.
// It simulates hosts with the production pools and queues on a virtual clock and prints
// one JSON object per line. The output is deterministic for a given seed.
package main

import (
	"encoding/json"
	"flag"
	"os"

	"github.com/chervilrun/chervilrun/internal/routing"
)

// measurement is the value of one metric.
type measurement struct {
	Scenario string         `json:"scenario"`
	Policy   routing.Policy `json:"policy"`
	Seed     uint64         `json:"seed"`
	Metric   string         `json:"metric"`
	Value    float64        `json:"value"`
	Unit     string         `json:"unit"`
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of random numbers")
	only := flag.String("scenario", "", "`name` of the scenario to run; empty runs all")
	flag.Parse()
	encoder := json.NewEncoder(os.Stdout)
	for _, s := range scenarios() {
		if *only != "" && s.name != *only {
			continue
		}
		for _, policy := range []routing.Policy{routing.PolicyLocal, routing.PolicyDivided, routing.PolicyLoans} {
			for _, result := range newSimulation(s, policy, *seed).run() {
				result.Scenario, result.Policy, result.Seed = s.name, policy, *seed
				if err := encoder.Encode(result); err != nil {
					os.Exit(1)
				}
			}
		}
	}
}
