package measure

import (
	"flag"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/scheduler"
)

// settings holds the command-line flags of chervil-measure.
type settings struct {
	deployments string
	scenarios   string
	policies    string
	seed        uint64
	seeds       int
	parallel    int
	load        float64
}

// Main runs chervil-measure with args and prints the results to w.
func Main(args []string, w io.Writer) error {
	var s settings
	flags := flag.NewFlagSet("chervil-measure", flag.ContinueOnError)
	flags.StringVar(&s.deployments, "deployment", "chikushi", "deployments, separated by commas: chikushi, vesofeny, planned")
	flags.StringVar(&s.scenarios, "scenario", "", "scenarios, separated by commas; empty means all")
	flags.StringVar(&s.policies, "policy", "", "policies, separated by commas; empty means all")
	flags.Uint64Var(&s.seed, "seed", 1, "first seed")
	flags.IntVar(&s.seeds, "seeds", 1, "number of seeds; more than one prints medians and the seeds where the product does worse")
	flags.IntVar(&s.parallel, "parallel", max(1, runtime.NumCPU()/4), "number of runs at once")
	flags.Float64Var(&s.load, "load", 1, "factor on the arrival rates of all classes")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("CHERVIL_MEASURE")); err != nil {
		return errors.Wrap(err, "command line")
	}
	lines, err := s.runAll()
	if err != nil {
		return err
	}
	if s.seeds > 1 {
		return PrintSummary(w, lines)
	}
	return Print(w, lines)
}

// runSpec identifies a run.
type runSpec struct {
	deployment string
	scenario   Scenario
	policy     scheduler.Policy
	seed       uint64
}

func (s *settings) runSpecs() []runSpec {
	var list []runSpec
	for _, deployment := range strings.Split(s.deployments, ",") {
		for _, scenario := range choose(s.scenarios, Scenarios()) {
			for _, policy := range choose(s.policies, Policies()) {
				for i := range s.seeds {
					list = append(list, runSpec{deployment, scenario, policy, s.seed + uint64(i)})
				}
			}
		}
	}
	return list
}

// choose returns the comma-separated names, or all if names is empty.
func choose[T ~string](names string, all []T) []T {
	if names == "" {
		return all
	}
	var chosen []T
	for _, name := range strings.Split(names, ",") {
		chosen = append(chosen, T(name))
	}
	return chosen
}

// runAll carries out the runs in parallel and returns their lines in the order of the runs.
func (s *settings) runAll() ([]Line, error) {
	runs := s.runSpecs()
	results := make([][]Line, len(runs))
	failures := make([]error, len(runs))
	var group sync.WaitGroup
	slots := make(chan struct{}, s.parallel)
	for i, r := range runs {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			results[i], failures[i] = RunAt(s.load, r.deployment, r.scenario, r.policy, r.seed)
		}()
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	return slices.Concat(results...), nil
}
