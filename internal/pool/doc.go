// Package pool runs the jobs of a pool of workers: it places task groups with the planner
// of internal/scheduler/pool, starts and stops tasks under leases, records their
// progress and takes over from an earlier owner.
//
// Owner is a state machine without I/O. Advance returns the calls to make to workers,
// the adviser, the machine API and the store; their results are passed back to the
// owner. Loop executes the calls.
//
// Invariants:
//   - An order to start a run is sent only after the run and its workers are recorded
//     in a transaction that checks the owner's key, so that a later owner knows every
//     worker that may have the run.
//   - The end of a run is acknowledged to its worker only after it is recorded.
//   - A run that may exist occupies its resources until the worker reports its end, the
//     worker does not list it although every order for it has expired, or its lease has
//     expired.
//   - A task group gets a new run only when no member of the previous run can still exist.
package pool
