// Command harness3 plays the scripted cases of the third review: it starts the system's hosts as
// processes, and stand-ins of the platform, the executors and the clients on loopback.
package main

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scenario plays a case. It returns an error if the case could not run.
type scenario func(record string, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"label":    playLabel,
	"restart":  playRestart,
	"largejob": playLargeJob,
	"foreign":  playForeign,
	"reclaim":  playReclaim,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(play(*name, *record, *trouble))
}

func play(name, record string, trouble bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Println("no case", name)
		return exitNotRun
	}
	broken, err := s(record, trouble)
	if err != nil {
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	for _, text := range broken {
		fmt.Println("rule broken:", text)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// setUp starts hosts and waits until they serve.
func (c *cluster) setUp(guaranteed int) error {
	if err := c.put("op/config", configuration(7, guaranteed)); err != nil {
		return err
	}
	for _, h := range c.hosts {
		if err := c.start(h); err != nil {
			return err
		}
	}
	return nil
}
