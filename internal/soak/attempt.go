package soak

import (
	"crypto/sha256"
	"net/http"
	"strings"
	"time"
)

// attempt is one request that a client or a probe sent.
type attempt struct {
	id, method, uri string
	digest          [sha256.Size]byte
	instance        string
	run             int
	at              time.Time
	connected       bool
	probe           int
	// account and key are those of the client, both empty for a probe.
	account, key string
	hot          bool
	// clientHall is the hall of the client, or empty for a probe.
	clientHall string
	// repeated is set for a client's second attempt at a request.
	repeated bool

	// connAt is when the connection that carried the attempt was opened.
	connAt         time.Time
	leftAt, doneAt time.Time
	result         result
	arrivals       []arrival
}

type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// arrival is an arrival of a request at a server. The field ran reports whether the server
// executed it.
type arrival struct {
	server string
	hall   string
	at     time.Time
	ran    bool
}

func (a *attempt) retryable() bool {
	return strings.HasPrefix(a.uri, "/read/") || strings.HasPrefix(a.uri, "/home/") || a.probe > 0
}

func (a *attempt) service() string {
	if strings.HasPrefix(a.uri, "/pay/") || strings.HasPrefix(a.uri, "/up/") {
		return "pay"
	}
	return "read"
}
