// Package gateway implements one instance: a reverse proxy that accepts the requests of
// clients and forwards each of them to a target of the service that its route names. The
// instances of a site share no component but the platform's store of objects, which holds
// their configuration and the entries of targets and instances.
//
// The decisions are made in packages that perform no I/O, among them catalog (routes),
// locality (regions), upstream (targets), warmup (slow start), retry (retry budgets),
// hedge (second attempts while the first one hangs), quarantine (requests that crash targets), ratelimit (limits of client accounts), rollout
// (canary analysis), feed (replication) and fleet (membership). This package provides them
// with time, locks and connections.
//
// A request passes through these files: serve.go reads it and finds its route, attempt.go
// sends it to targets until one responds or no attempt is left, hedging.go sends a second attempt
// while the first one hangs, and pools.go holds the targets of each service.
//
// A change of an object passes through these files: watch.go reads it from the store, or
// gossip.go and delta.go receive it from another instance, and apply.go applies it. Each
// instance holds a replica of every kind of object, at a position in the history of the
// store. A delta carries the changes between two positions. A watcher is an instance that
// watches the store on behalf of its region; it pushes the changes to the others. An instance
// that has missed a change learns from gossip that it is behind, and sends a delta request.
//
// The store begins a new era when it is restored from a backup. The changes that the backup
// lacks are lost. The instances hold back the effects of such losses until the writers have had
// the time to write the changes again. Objects of rainford itself are written again by the
// instances.
package gateway
