// Package telemetry provides the metrics of an instance, recorded with
// OpenTelemetry and served in the Prometheus text format.
//
// An instrument is a counter, a histogram or a gauge with a name and up to four
// labels. Each combination of values of the labels is a series of the instrument.
package telemetry
