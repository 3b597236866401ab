package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

// configureAccounts writes a configuration with three client accounts and two routes. One route
// is restricted to region a. The argument keys holds the API keys of the account ada.
func (w *gatewayFixture) configureAccounts(version int, keys ...string) {
	route := func(prefix string, homes ...string) objects.Route {
		return objects.Route{Host: "h.example", PathPrefix: prefix, RouteType: "non_idempotent", Timeout: "400ms", TargetLatency: "200ms",
			Service: "s", MaxAttempts: 2, AllowedRegions: homes}
	}
	w.store.Configure(objects.Configuration{
		Version:  objects.FormatVersion(version),
		Routes:   map[string]objects.Route{"r-once": route("/"), "r-home": route("/home/", "a")},
		Services: map[string]objects.Service{"s": {}},
		Tenants: map[string]objects.Tenant{
			"ada":    {APIKeys: keys},
			"small":  {APIKeys: []string{"small-key"}, RatePerS: 0.1, Burst: 0},
			"abroad": {APIKeys: []string{"abroad-key"}, AllowedRegions: []string{"b"}},
		},
	})
}

// sendAs sends a request with an API key. It returns the status, or 0 if there is no response.
func (w *gatewayFixture) sendAs(id, key, path string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+w.addr+path, strings.NewReader("b"))
	require.NoError(w.t, err)
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Timeout-Ms", "3000")
	req.Header.Set("Credential", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// waitForStatus sends requests with key until the response has the given status.
func (w *gatewayFixture) waitForStatus(key string, status int) {
	require.Eventually(w.t, func() bool { return w.sendAs("warm", key, "/") == status }, 10*time.Second, 5*time.Millisecond)
}

// TestExplainRevokedKey checks the explanation of a request whose API key a newer configuration
// has removed.
func TestExplainRevokedKey(t *testing.T) {
	w := newGatewayFixture(t)
	w.configureAccounts(4, "old-key")
	w.waitForStatus("old-key", 200)
	w.configureAccounts(5, "new-key")
	w.waitForStatus("old-key", 401)
	require.Equal(t, 401, w.sendAs("turned-away", "old-key", "/"))
	text := w.explain("turned-away")
	require.Contains(t, text, "request turned-away: 401, no account of the configuration has its key; it did not run")
	require.Contains(t, text, "configuration 5")
	require.Contains(t, text, `"msg":"configuration in force","instance":"n1","version":5`)
	require.NotContains(t, text, "old-key")
}

// TestExplainOverLimit checks the explanation of a request that exceeds the rate limit of its
// client account.
func TestExplainOverLimit(t *testing.T) {
	w := newGatewayFixture(t)
	w.configureAccounts(4, "old-key")
	w.waitForStatus("small-key", 429)
	require.Equal(t, 429, w.sendAs("beyond", "small-key", "/"))
	text := w.explain("beyond")
	require.Contains(t, text, "request beyond: 429, its account was beyond its limit; it did not run")
	require.Contains(t, text, "account small, waited")
	require.Contains(t, text, "limit: n1 was asked last; this instance got")
}

// TestExplainNoCommonHome checks the explanation of a request whose client account is not
// allowed in any region of its route. The request must not reach a target.
func TestExplainNoCommonHome(t *testing.T) {
	w := newGatewayFixture(t)
	w.configureAccounts(4, "old-key")
	// The configuration without accounts admits any key, so that a rejected key shows that
	// the new configuration is in force.
	w.waitForStatus("nobodys-key", 401)
	runs := len(w.server.Runs())
	require.Equal(t, 503, w.sendAs("abroad", "abroad-key", "/home/"))
	text := w.explain("abroad")
	require.Contains(t, text, "request abroad: 503, its route and its account have no home region in common; it did not run")
	require.Contains(t, text, "account abroad")
	require.Len(t, w.server.Runs(), runs)
}

// TestExplainQuarantinedAccount checks the explanation of a request that is held because
// different requests of its client account crashed targets. It must show the log line on the
// account's quarantine.
func TestExplainQuarantinedAccount(t *testing.T) {
	w := newGatewayFixture(t)
	w.configureAccounts(4, "ada-key")
	w.waitForStatus("ada-key", 200)
	sent := 0
	held := func() bool {
		sent++
		w.setFault(origin.Crash)
		status := w.sendAs(fmt.Sprint("end", sent), "ada-key", fmt.Sprint("/", sent))
		if status == 502 {
			w.replaceServer(fmt.Sprint("i-next", sent))
		}
		return status == 503 && strings.Contains(w.explain(fmt.Sprint("end", sent)), "account-ends-targets")
	}
	require.Eventually(t, held, 20*time.Second, 300*time.Millisecond)
	text := w.explain(fmt.Sprint("end", sent))
	require.Contains(t, text, "503, targets end under different requests of its account, and it was not answered before")
	require.Contains(t, text, `"msg":"account held"`)
	require.Contains(t, text, "account ada")
}
