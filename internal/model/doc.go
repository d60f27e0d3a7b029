// Package model holds the value types that every part of chervilrun shares:
// identifiers, resources, shapes, workers, organisations, services and jobs.
// It has no behaviour beyond arithmetic and validation and imports nothing of
// the project.
package model
