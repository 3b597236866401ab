// Package telemetry provides the metrics of an instance, recorded by
// OpenTelemetry and served in the Prometheus text format.
package telemetry
