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
	heldDoc, err := Decode(held)
	if err != nil {
		return false
	}
	storedDoc, err := Decode(stored)
	if err != nil || storedDoc.Number >= heldDoc.Number {
		return false
	}
	if len(storedDoc.Recent) == 0 {
		return storedDoc.Number == 0
	}
	_, known := heldDoc.changeByID(storedDoc.Recent[len(storedDoc.Recent)-1].ID)
	return known
}

func supersedesAuditPage(held, stored []byte) bool {
	heldPage, err := decodeAuditPage(held)
	if err != nil {
		return false
	}
	storedPage, err := decodeAuditPage(stored)
	if err != nil || len(storedPage.Changes) >= len(heldPage.Changes) {
		return false
	}
	for _, c := range storedPage.Changes {
		if !heldPage.contains(c.Number) {
			return false
		}
	}
	return true
}

// SameLatestChange tells whether two values of the document are of the same latest change.
func SameLatestChange(a, b []byte) bool {
	docA, err := Decode(a)
	if err != nil {
		return false
	}
	docB, err := Decode(b)
	if err != nil || docA.Number != docB.Number || len(docA.Recent) == 0 || len(docB.Recent) == 0 {
		return false
	}
	return docA.Recent[len(docA.Recent)-1].ID == docB.Recent[len(docB.Recent)-1].ID
}

// LostChanges returns the latest changes of the document that was held which a stored one lacks, the earliest
// first. It returns none where either can't be read.
func LostChanges(held, stored []byte) []Change {
	heldDoc, err := Decode(held)
	if err != nil {
		return nil
	}
	storedDoc, err := Decode(stored)
	if err != nil {
		return nil
	}
	var out []Change
	for _, c := range heldDoc.Recent {
		_, known := storedDoc.changeByID(c.ID)
		if !known && (len(storedDoc.Recent) == 0 || c.Number >= storedDoc.Recent[0].Number) {
			out = append(out, c)
		}
	}
	return out
}
