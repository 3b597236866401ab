package gateway

import (
	"net/http"
	"time"

	"github.com/rainford/rainford/catalog"
)

// Reasons of requests that are refused because of the configuration of client accounts.
const (
	reasonNoKey        = "no-key"
	reasonUnknownKey   = "unknown-key"
	reasonKeyRevoked   = "key-taken"
	reasonNoCommonHome = "no-common-home"
)

// noCommonHomeRetryAfter is the Retry-After if no region may serve the account on the route. Only a
// change of the configuration helps, and a change is in force everywhere within three seconds.
const noCommonHomeRetryAfter = 3 * time.Second

// identify finds the client account of a request and the regions that may serve it. It returns a
// refusal and false if no region may serve the request, or if it has no valid key although the
// configuration requires one and the route is not anonymous. It uses only the header, so that no
// body is read for a request that is refused.
func (g *Gateway) identify(ex *exchange, router *catalog.Router) (requestResult, bool) {
	key, hasKey := g.keyOf(ex.r)
	if hasKey {
		ex.account = router.Account(key)
	}
	if ex.account == nil && router.Config().RequiresKey && !ex.route.Anonymous {
		reason := reasonUnknownKey
		if !hasKey {
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

// keyOf returns the API key of a request. A request with an empty key or with several keys counts as
// one without a key. Several keys are not accepted, since different programs could otherwise choose different ones.
func (g *Gateway) keyOf(r *http.Request) (catalog.Key, bool) {
	keys := r.Header[g.headers.Credential]
	if len(keys) != 1 || keys[0] == "" {
		return catalog.Key{}, false
	}
	return catalog.NewKey(keys[0]), true
}

// recheckKey checks whether the key of a request is still valid after the request has waited for
// its body or for a target. If the key does not belong to the same account any longer, the
// request is refused instead of sent. A request without an account is not checked.
func (g *Gateway) recheckKey(ex *exchange) (requestResult, bool) {
	router := g.router.Load()
	if ex.account == nil || router.Config().Version == ex.version {
		return requestResult{}, true
	}
	if ex.handover != nil {
		// The key was checked by the instance that received it.
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

// beforeBody adapts the result of a request whose body was not read. If the body may be longer than
// maxDiscardedBody, the connection is closed after the response instead of reading the body.
func beforeBody(ex *exchange, result requestResult) requestResult {
	result.closeConn = result.closeConn || ex.r.ContentLength < 0 || ex.r.ContentLength > maxDiscardedBody
	return result
}

// maxDiscardedBody is the longest body of a refused request that is read and discarded to keep the
// connection open. Such a body usually arrives in the same packets as the header.
const maxDiscardedBody = 4 << 10
