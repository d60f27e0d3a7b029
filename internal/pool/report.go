package pool

import (
	"cmp"
	"slices"

	"github.com/chervilrun/chervilrun/internal/model"
)

// Report describes the state of a pool. Amounts of resources are accelerators.
type Report struct {
	Fence         uint64               `json:"fence"`
	Workers       WorkersReport        `json:"workers"`
	Queues        []QueueReport        `json:"queues"`
	Organisations []OrganisationReport `json:"organisations"`
	Reclaims      []ReclaimReport      `json:"reclaims"`
	Crashes       CrashReport          `json:"crashes"`
}

// CrashReport counts crashes of workers since the takeover.
type CrashReport struct {
	// Workers counts the workers that have crashed, JobsGivenUp the jobs that were given up
	// because they crash their workers.
	Workers     int `json:"workers"`
	JobsGivenUp int `json:"jobs_given_up"`
	// Suspects counts the task groups under which workers have crashed and that have not
	// ended.
	Suspects int `json:"suspects"`
}

// WorkersReport counts the workers of the pool.
type WorkersReport struct {
	// Usable workers may get new tasks; Silent ones don't respond to lease renewals.
	Listed      int `json:"listed"`
	Usable      int `json:"usable"`
	Silent      int `json:"silent"`
	Draining    int `json:"draining"`
	Quarantined int `json:"quarantined"`
	Slow        int `json:"slow"`
	// Capacity and Free are totals of the usable workers.
	Capacity int `json:"capacity"`
	Free     int `json:"free"`
}

// QueueReport counts the jobs of a queue that have not ended.
type QueueReport struct {
	Queue    string `json:"queue"`
	Priority int    `json:"priority"`
	Waiting  int    `json:"waiting"`
	Running  int    `json:"running"`
	// OldestMS is the age of the oldest waiting job.
	OldestMS int64 `json:"oldest_ms"`
}

// OrganisationReport describes an organisation's use of the pool.
type OrganisationReport struct {
	Organisation model.OrganisationID `json:"organisation"`
	// Guaranteed is the guarantee for its urgent work, Urgent what that work holds.
	Guaranteed int `json:"guaranteed"`
	Urgent     int `json:"urgent"`
	// UrgentWaiting is what its waiting urgent work needs.
	UrgentWaiting int `json:"urgent_waiting"`
	// Use is what all of its work holds.
	Use int `json:"use"`
}

// GuaranteeMet reports whether the guarantee is used up or no urgent work waits.
func (r OrganisationReport) GuaranteeMet() bool {
	return r.UrgentWaiting == 0 || r.Urgent >= r.Guaranteed
}

// ReclaimReport sums up the runs of one organisation (From) that were stopped for work of
// another (For) since the takeover.
type ReclaimReport struct {
	For  model.OrganisationID `json:"for"`
	From model.OrganisationID `json:"from"`
	Runs int                  `json:"runs"`
	// CoreSeconds is the work that was lost.
	CoreSeconds float64 `json:"core_seconds"`
}

type reclaimKey struct{ beneficiary, donor model.OrganisationID }

// countReclaim counts a run that is stopped for the work of an organisation.
func (o *Owner) countReclaim(beneficiary, evicted *taskGroup) {
	key := reclaimKey{beneficiary.job.record.Organisation, evicted.job.record.Organisation}
	r := o.reclaims[key]
	r.For, r.From = key.beneficiary, key.donor
	r.Runs++
	r.CoreSeconds += evicted.planRun().UnsavedWork(o.now)
	o.reclaims[key] = r
}

// Report describes the state of the pool.
func (o *Owner) Report() Report {
	report := Report{Fence: o.fence, Workers: o.reportWorkers(), Crashes: o.crashReport}
	report.Crashes.Suspects = o.suspects.len()
	queues := map[string]*QueueReport{}
	organisations := map[model.OrganisationID]*OrganisationReport{}
	for id, guaranteed := range o.policy.Guarantees {
		organisations[id] = &OrganisationReport{Organisation: id, Guaranteed: guaranteed}
	}
	for _, j := range o.active.all() {
		if j.isTerminal() {
			continue
		}
		o.reportJob(j, queues)
		id := j.record.Organisation
		if organisations[id] == nil {
			organisations[id] = &OrganisationReport{Organisation: id}
		}
		j.forEachTaskGroup(func(g *taskGroup) { organisations[id].count(g) })
	}
	for _, q := range queues {
		report.Queues = append(report.Queues, *q)
	}
	for _, r := range organisations {
		report.Organisations = append(report.Organisations, *r)
	}
	for _, r := range o.reclaims {
		report.Reclaims = append(report.Reclaims, r)
	}
	slices.SortFunc(report.Queues, func(a, b QueueReport) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Queue, b.Queue))
	})
	slices.SortFunc(report.Organisations, func(a, b OrganisationReport) int { return cmp.Compare(a.Organisation, b.Organisation) })
	slices.SortFunc(report.Reclaims, func(a, b ReclaimReport) int {
		return cmp.Or(cmp.Compare(a.For, b.For), cmp.Compare(a.From, b.From))
	})
	return report
}

func (o *Owner) reportWorkers() WorkersReport {
	var r WorkersReport
	for id, w := range o.workers.all() {
		if !w.Listed {
			continue
		}
		r.Listed++
		if !w.SilentSince.IsZero() {
			r.Silent++
		}
		if w.Draining {
			r.Draining++
		}
		if o.now.Before(w.slowUntil) {
			r.Slow++
		}
		quarantined := o.quarantine.Quarantined(id, o.now)
		if quarantined {
			r.Quarantined++
		}
		if w.usable(&o.policy) && !quarantined {
			r.Usable++
			r.Capacity += w.info.Capacity.Accelerators
			r.Free += w.free().Sub(w.assigned).Accelerators
		}
	}
	return r
}

func (o *Owner) reportJob(j *job, queues map[string]*QueueReport) {
	q := queues[j.queue.Name]
	if q == nil {
		q = &QueueReport{Queue: j.queue.Name, Priority: j.queue.Priority}
		queues[j.queue.Name] = q
	}
	if j.started {
		q.Running++
		return
	}
	q.Waiting++
	q.OldestMS = max(q.OldestMS, o.now.Sub(j.record.Accepted).Milliseconds())
}

func (r *OrganisationReport) count(g *taskGroup) {
	urgent := g.job.queue.Priority == 0
	switch {
	case g.holdsResources():
		r.Use += g.accelerators()
		if urgent {
			r.Urgent += g.accelerators()
		}
	case g.state() == taskGroupWaiting && g.step.ready && urgent:
		r.UrgentWaiting += g.accelerators()
	}
}
