package config

import "strings"

// Supersedes tells whether the value that was held under a key holds all that a stored value does and
// more: the stored one is an earlier state of it. It is false where either can't be read, where both
// say the same, and where each holds a change that the other lacks.
func Supersedes(key string, held, stored []byte) bool {
	switch {
	case key == Key:
		return supersedesDocument(held, stored)
	case strings.HasPrefix(key, AuditPrefix):
		return supersedesAuditPage(held, stored)
	default:
		return false
	}
}

func supersedesDocument(held, stored []byte) bool {
	mine, err := Decode(held)
	if err != nil {
		return false
	}
	theirs, err := Decode(stored)
	if err != nil || theirs.Number >= mine.Number {
		return false
	}
	if len(theirs.Recent) == 0 {
		return theirs.Number == 0
	}
	_, known := mine.changeByID(theirs.Recent[len(theirs.Recent)-1].ID)
	return known
}

func supersedesAuditPage(held, stored []byte) bool {
	mine, err := decodeAuditPage(held)
	if err != nil {
		return false
	}
	theirs, err := decodeAuditPage(stored)
	if err != nil || len(theirs.Changes) >= len(mine.Changes) {
		return false
	}
	for _, c := range theirs.Changes {
		if !mine.contains(c.Number) {
			return false
		}
	}
	return true
}

// SameLatestChange tells whether two values of the document are of the same latest change.
func SameLatestChange(a, b []byte) bool {
	one, err := Decode(a)
	if err != nil {
		return false
	}
	other, err := Decode(b)
	if err != nil || one.Number != other.Number || len(one.Recent) == 0 || len(other.Recent) == 0 {
		return false
	}
	return one.Recent[len(one.Recent)-1].ID == other.Recent[len(other.Recent)-1].ID
}

// LostChanges returns the latest changes of the document that was held which a stored one lacks, the earliest
// first. It returns none where either can't be read.
func LostChanges(held, stored []byte) []Change {
	mine, err := Decode(held)
	if err != nil {
		return nil
	}
	theirs, err := Decode(stored)
	if err != nil {
		return nil
	}
	var out []Change
	for _, c := range mine.Recent {
		_, known := theirs.changeByID(c.ID)
		if !known && (len(theirs.Recent) == 0 || c.Number >= theirs.Recent[0].Number) {
			out = append(out, c)
		}
	}
	return out
}
