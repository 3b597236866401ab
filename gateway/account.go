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
	reasonKeyRevoked   = "key-taken"
	reasonNoCommonHome = "no-common-home"
)

// noCommonHomeRetryAfter is told when no region may serve an account on a route. Only a
// change of the configuration helps, which is in force everywhere within three seconds.
const noCommonHomeRetryAfter = 3 * time.Second

// identify finds the client account of a request and the regions that may serve it, or
// the answer to a request that has none. It looks at the head of the request only, so
// that no body is read for a request that is turned away.
func (g *Gateway) identify(ex *exchange, router *catalog.Router) (requestResult, bool) {
	key, given := g.keyOf(ex.r)
	if given {
		ex.account = router.Account(key)
	}
	if ex.account == nil && router.Config().RequiresKey && !ex.route.Anonymous {
		reason := reasonUnknownKey
		if !given {
			reason = reasonNoKey
		}
		return unauthorized(ex, reason), false
	}
	var ok bool
	ex.homeRegions, ok = catalog.HomeRegions(ex.route, ex.account)
	if !ok {
		return beforeBody(ex, notRunResult(reasonNoCommonHome, noCommonHomeRetryAfter)), false
	}
	return requestResult{}, true
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

// recheckKey looks whether the key of a request that had to wait, for its body or for a
// target, still counts. A key that was taken away meanwhile ends the request before it
// is sent.
func (g *Gateway) recheckKey(ex *exchange) (requestResult, bool) {
	router := g.router.Load()
	if ex.account == nil || router.Config().Version == ex.version {
		return requestResult{}, true
	}
	key, _ := g.keyOf(ex.r)
	account := router.Account(key)
	if account == nil || account.Name != ex.account.Name {
		return unauthorized(ex, reasonKeyRevoked), false
	}
	return requestResult{}, true
}

func unauthorized(ex *exchange, reason string) requestResult {
	return beforeBody(ex, requestResult{status: http.StatusUnauthorized, reason: reason})
}

// beforeBody is the answer to a request whose body was not read. A body that may be long is
// not waited for: the connection ends with the answer.
func beforeBody(ex *exchange, v requestResult) requestResult {
	v.closeConn = v.closeConn || ex.r.ContentLength < 0 || ex.r.ContentLength > maxDiscardedBody
	return v
}

// maxDiscardedBody is the longest body that is read and thrown away so that the connection
// of a request that was turned away can be kept: it comes in the packets of the head.
const maxDiscardedBody = 4 << 10
