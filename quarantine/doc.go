// Package quarantine tells apart requests by their content, so that what became of one is
// remembered when the same comes again at another instance.
package quarantine
