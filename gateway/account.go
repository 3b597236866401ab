package gateway

import (
	"net/http"
	"time"

	"github.com/rainford/rainford/catalog"
)

// Reasons of requests that end by what the configuration says of client accounts.
const (
	reasonNoKey        = "no-key"
	reasonUnknownKey   = "unknown-key"
	reasonKeyTaken     = "key-taken"
	reasonNoCommonHome = "no-common-home"
)

// noCommonHomeRetryAfter is told when no region may serve an account on a route. Only a
// change of the configuration helps, which is in force everywhere within three seconds.
const noCommonHomeRetryAfter = 3 * time.Second

// identify finds the client account of a request and the regions that may serve it, or
// the answer to a request that has none. It looks at the head of the request only, so
// that no body is read for a request that is turned away.
func (g *Gateway) identify(ex *exchange, router *catalog.Router) (verdict, bool) {
	key, given := g.keyOf(ex.r)
	if given {
		ex.account = router.Account(key)
	}
	if ex.account == nil && router.Config().NeedsKey && !ex.route.Anonymous {
		reason := reasonUnknownKey
		if !given {
			reason = reasonNoKey
		}
		return unauthorized(ex, reason), false
	}
	var ok bool
	ex.homes, ok = catalog.Homes(ex.route, ex.account)
	if !ok {
		return atDoor(ex, notRun(reasonNoCommonHome, noCommonHomeRetryAfter)), false
	}
	return verdict{}, true
}

// keyOf returns the key that a request carries. A request with several is taken to carry
// none: which one counts must not depend on who reads it.
func (g *Gateway) keyOf(r *http.Request) (catalog.Key, bool) {
	values := r.Header[g.headers.Credential]
	if len(values) != 1 || values[0] == "" {
		return catalog.Key{}, false
	}
	return catalog.NewKey(values[0]), true
}

// checkAgain looks whether the key of a request that had to wait, for its body or for a
// target, still counts. A key that was taken away meanwhile ends the request before it
// is sent.
func (g *Gateway) checkAgain(ex *exchange) (verdict, bool) {
	router := g.router.Load()
	if ex.account == nil || router.Config().Version == ex.version {
		return verdict{}, true
	}
	key, _ := g.keyOf(ex.r)
	account := router.Account(key)
	if account == nil || account.Name != ex.account.Name {
		return unauthorized(ex, reasonKeyTaken), false
	}
	return verdict{}, true
}

func unauthorized(ex *exchange, reason string) verdict {
	return atDoor(ex, verdict{status: http.StatusUnauthorized, reason: reason})
}

// atDoor is the answer to a request whose body was not read. A body that may be long is
// not waited for: the connection ends with the answer.
func atDoor(ex *exchange, v verdict) verdict {
	v.close = v.close || ex.r.ContentLength < 0 || ex.r.ContentLength > maxSkippedBody
	return v
}

// maxSkippedBody is the longest body that is read and thrown away so that the connection
// of a request that was turned away can be kept: it comes in the packets of the head.
const maxSkippedBody = 4 << 10
