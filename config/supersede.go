package config

import "strings"

// Supersedes reports whether the stored value of an object is an earlier state of the value that an
// instance held under its key: the held value contains all changes of the stored one, and more. The
// store loses changes when it is restored from a backup. The result is false if a value can't be
// decoded, if both contain the same changes, and if each contains a change that the other lacks.
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

// SameLatestChange reports whether two encoded documents have the same latest change. The result is
// false if one of them can't be decoded.
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

// LostChanges returns the recent changes of a held document that the stored document lacks, the
// earliest first. Changes older than the recent changes of the stored document are left out. The
// result is empty if one of the documents can't be decoded.
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
