package pool

import (
	"slices"
	"time"

	"github.com/chervilrun/chervilrun/internal/event"
)

// A store that refuses a transaction does not tell which of its records it refuses. So each of them is
// sent alone from then on, until the store accepts it; one that is refused alone waits before it is
// sent again. Other records are sent meanwhile.
const (
	minRefusedRecordPause = time.Second
	maxRefusedRecordPause = time.Minute
)

// refusals is what is known of the store's refusals of a record.
type refusals struct {
	// suspected is true once a transaction with the record was refused, until one is accepted.
	suspected bool
	// alone counts the refusals of transactions that held no other record.
	alone       int
	pausedUntil time.Time
}

// suspectedRecord is a record that is sent alone. resend adds it to a transaction if it has changes
// to record. job is that of the record, if it is one of a job.
type suspectedRecord struct {
	refusals *refusals
	job      *job
	resend   func(call *StoreCall)
}

// suspectedRecordCall returns a transaction with one suspected record, if one is due.
func (o *Owner) suspectedRecordCall() *StoreCall {
	o.suspectedRecords = slices.DeleteFunc(o.suspectedRecords, func(r suspectedRecord) bool { return !r.refusals.suspected })
	for _, r := range o.suspectedRecords {
		if o.now.Before(r.refusals.pausedUntil) {
			o.wakeAt(r.refusals.pausedUntil)
			continue
		}
		call := &StoreCall{Txn: o.newTxn()}
		if r.resend(call); len(call.Txn.Then) > 0 {
			return call
		}
	}
	return nil
}

// recordsRefused handles a transaction that the store has refused for what it contains.
func (o *Owner) recordsRefused(call *StoreCall, err error) {
	records := o.suspectedRecordsOf(call)
	if len(records) == 1 {
		o.recordRefused(records[0], call, err)
	}
	for _, r := range records {
		if !r.refusals.suspected {
			r.refusals.suspected = true
			o.suspectedRecords = append(o.suspectedRecords, r)
		}
	}
	if len(records) == 0 {
		// A removal: records go first.
		o.lastRemovalCheck = o.now
	}
}

func (o *Owner) recordRefused(record suspectedRecord, call *StoreCall, err error) {
	r, pause := record.refusals, maxRefusedRecordPause
	if record.job != nil {
		record.job.refused = true
	}
	if r.alone < 8 {
		pause = min(minRefusedRecordPause<<r.alone, maxRefusedRecordPause)
	}
	r.alone++
	r.pausedUntil = o.now.Add(pause)
	put := call.Txn.Then[0].Put
	o.emit(event.RecordRefused, event.Subject{}, event.Fields{
		"key": put.Key, "bytes": len(put.Value), "why": err.Error(), "refusals": r.alone, "pause_ms": pause.Milliseconds(),
	})
}

// suspectedRecordsOf lists the records in a transaction.
func (o *Owner) suspectedRecordsOf(c *StoreCall) []suspectedRecord {
	var records []suspectedRecord
	for _, write := range c.writes {
		records = append(records, suspectedRecord{refusals: &write.record.refusals, job: write.job, resend: func(again *StoreCall) {
			if write.record.unrecordedFrom != 0 {
				o.addJobRecord(again, write.job, write.record)
			}
		}})
	}
	for _, write := range c.recordWrites {
		records = append(records, suspectedRecord{refusals: &write.state.refusals, resend: write.resend})
	}
	if c.wave != nil {
		records = append(records, suspectedRecord{refusals: &c.wave.refusals, resend: func(*StoreCall) {}})
	}
	return records
}
