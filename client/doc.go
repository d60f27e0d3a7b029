// Package client calls chervilrun: requests to services and jobs on workers.
//
// Every call ends in one of these outcomes, which says what the caller may do:
//
//   - Done: the work ran and its complete response was received. Work that is not
//     repeatable ran once.
//   - NotRun: the work has not run and will not run in this call. The caller may
//     send it again, with the same idempotency key or with a new one.
//   - Unknown: the work may have run. A caller may send it again only if the work
//     is repeatable, or with the same idempotency key, which returns the recorded
//     outcome and never runs the work twice.
//   - Accepted: a job is recorded and will run, even if every host of the system is
//     replaced. Submitting it again with the same key returns the same job.
package client
