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

// accounts writes a configuration of two accounts and two routes, one of which has a home.
func (w *walk) accounts(version int, keys ...string) {
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

// sendAs sends a request with a key.
func (w *walk) sendAs(id, key, path string) int {
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

func (w *walk) await(key string, status int) {
	require.Eventually(w.t, func() bool { return w.sendAs("warm", key, "/") == status }, 10*time.Second, 5*time.Millisecond)
}

// TestWalkKeyTaken follows a request that is turned away after a change of keys.
func TestWalkKeyTaken(t *testing.T) {
	w := newWalk(t)
	w.accounts(4, "old-key")
	w.await("old-key", 200)
	w.accounts(5, "new-key")
	w.await("old-key", 401)
	require.Equal(t, 401, w.sendAs("turned-away", "old-key", "/"))
	text := w.explain("turned-away")
	require.Contains(t, text, "request turned-away: 401, no account of the configuration has its key; it did not run")
	require.Contains(t, text, "configuration 5")
	require.Contains(t, text, `"msg":"configuration in force","instance":"n1","version":5`)
	require.NotContains(t, text, "old-key")
}

// TestWalkOverLimit follows a request of an account beyond its limit.
func TestWalkOverLimit(t *testing.T) {
	w := newWalk(t)
	w.accounts(4, "old-key")
	w.await("small-key", 429)
	require.Equal(t, 429, w.sendAs("beyond", "small-key", "/"))
	text := w.explain("beyond")
	require.Contains(t, text, "request beyond: 429, its account was beyond its limit; it did not run")
	require.Contains(t, text, "account small, waited")
	require.Contains(t, text, "limit: n1 was asked last; this instance got")
}

// TestWalkNoCommonHome follows a request of an account in a region that it may not use.
func TestWalkNoCommonHome(t *testing.T) {
	w := newWalk(t)
	w.accounts(4, "old-key")
	// Only the configuration with accounts turns a key away; the one before serves any.
	w.await("nobodys-key", 401)
	runs := len(w.server.Runs())
	require.Equal(t, 503, w.sendAs("abroad", "abroad-key", "/home/"))
	text := w.explain("abroad")
	require.Contains(t, text, "request abroad: 503, its route and its account have no home region in common; it did not run")
	require.Contains(t, text, "account abroad")
	require.Len(t, w.server.Runs(), runs)
}

// TestWalkAccountEndsTargets follows a request that is held back because targets end under
// different ones of its account to what was said of the account.
func TestWalkAccountEndsTargets(t *testing.T) {
	w := newWalk(t)
	w.accounts(4, "ada-key")
	w.await("ada-key", 200)
	sent := 0
	held := func() bool {
		sent++
		w.script(origin.Crash)
		status := w.sendAs(fmt.Sprint("end", sent), "ada-key", fmt.Sprint("/", sent))
		if status == 502 {
			w.replace(fmt.Sprint("i-next", sent))
		}
		return status == 503 && strings.Contains(w.explain(fmt.Sprint("end", sent)), "account-ends-targets")
	}
	require.Eventually(t, held, 20*time.Second, 300*time.Millisecond)
	text := w.explain(fmt.Sprint("end", sent))
	require.Contains(t, text, "503, targets end under different requests of its account, and it was not answered before")
	require.Contains(t, text, `"msg":"account held"`)
	require.Contains(t, text, "account ada")
}
