package pool_test

import (
	"fmt"
	"time"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

type liveness struct{ sim *evidenceSim }

func newLiveness(s *evidenceSim) liveness { return liveness{s} }
func (l *liveness) sent(call pool.Call)   {}
func (l *liveness) ownerTroubled()        {}
func (l *liveness) watch()                {}

var _ = fmt.Sprint
var _ time.Time
var _ model.JobID
var _ workflow.Step
