// Package measure runs the production scheduling engine with seeded streams of jobs on a
// simulated clock, and measures the product's policy and the baseline policies. It
// models no network and no processes: a gang starts and stops after fixed times, and a
// job runs for the time drawn for it.
package measure
