package gateway

// Reload applies the settings that may change while the instance runs, which are the seeds. It
// logs the names of the changed settings that restartRequired checks.
func (g *Gateway) Reload(config Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.config.Seeds = config.Seeds
	g.log.Info(logReload, "seeds", config.Seeds, "restart_needed", g.restartRequired(config))
}

// ReloadFailed logs that changed settings were rejected.
func (g *Gateway) ReloadFailed(err error) { g.log.Error(logReloadRefused, "error", err.Error()) }

// restartRequired returns the names of those settings in its list that have changed. They need a
// restart. Other settings need one too, but are not in the list.
func (g *Gateway) restartRequired(config Config) []string {
	var out []string
	for _, pair := range []struct {
		name    string
		changed bool
	}{
		{"hall", config.Hall != g.config.Hall},
		{"listen", config.Listen != g.config.Listen},
		{"peer-listen", config.PeerListen != g.config.PeerListen},
		{"forget-after", config.ForgetAfter != g.config.ForgetAfter},
		{"grace", config.Grace != g.config.Grace},
		{"lookup-ttl", config.LookupTTL != g.config.LookupTTL},
		{"retry-ratio", config.RetryRatio != g.config.RetryRatio},
		{"retry-slack", config.RetrySlack != g.config.RetrySlack},
		{"shift-most", config.ShiftMost != g.config.ShiftMost},
		{"cpu-cores", config.CPUCores != g.config.CPUCores},
		{"cpu-share", config.CPUShare != g.config.CPUShare},
		{"link-mbps", config.LinkMbps != g.config.LinkMbps},
		{"limit-window", config.Limits.Window != g.config.Limits.Window},
		{"limit-over", config.Limits.Overshoot != g.config.Limits.Overshoot},
		{"limit-slack", config.Limits.Slack != g.config.Limits.Slack},
	} {
		if pair.changed {
			out = append(out, pair.name)
		}
	}
	return out
}
