package idempotency

import (
	"cmp"
	"context"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// topicSuccessors is the heartbeat value that carries the known successions. Every instance forwards the successions that
// it receives, so that they reach all data centres: only a few instances exchange heartbeats between data centres.
const topicSuccessors = "idempotency.successors"

// maxSuccessions limits the successions that one heartbeat carries; the newest are sent. 6,400 restarts a day are 45 in the
// lifetime of a key.
const maxSuccessions = 128

// succession names the instance that acts as the issuer of the keys of a stopped process.
type succession struct {
	Issuer     Issuer             `msgpack:"i"`
	To         structs.InstanceID `msgpack:"t"`
	Generation uint32             `msgpack:"g"` // a later handover of the same table has a higher one
	Until      int64              `msgpack:"u"` // Unix seconds after which every key of the issuer has expired
}

// ExchangeSuccessors attaches the known successions to the heartbeats. Call it before heartbeats are sent. The returned
// function merges the successions that other instances send until ctx ends.
func (k *Keys) ExchangeSuccessors(view membership.View, values membership.Values) func(ctx context.Context) error {
	values.Attach(topicSuccessors, membership.Everywhere, func() any { return k.successions() })
	return func(ctx context.Context) error {
		for {
			changed := values.Watch(topicSuccessors)
			k.mergePeerSuccessions(view, values)
			select {
			case <-changed:
			case <-ctx.Done():
				return nil
			}
		}
	}
}

// mergePeerSuccessions merges the latest successions of every entry instance.
func (k *Keys) mergePeerSuccessions(view membership.View, values membership.Values) {
	for id := range view.AllEntries() {
		var received []succession
		if _, found, err := values.Value(id, topicSuccessors, &received); found && err == nil {
			k.mergeSuccessions(received)
		}
	}
}

// mergeSuccessions stores received successions that are new or have a higher generation than the known ones.
func (k *Keys) mergeSuccessions(received []succession) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.config.Now().Unix()
	for _, s := range received[:min(len(received), maxSuccessions)] {
		latest := now + int64((k.config.Lifetime+time.Minute)/time.Second)
		if s.Until < now || s.Until > latest || len(k.successors) >= 4*maxSuccessions {
			continue
		}
		if known, has := k.successors[s.Issuer]; !has || s.Generation > known.Generation {
			k.successors[s.Issuer] = s
		}
	}
}

// successions returns the successions to send, latest expiry first.
func (k *Keys) successions() []succession {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]succession, 0, len(k.successors))
	for _, s := range k.successors {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b succession) int {
		return cmp.Or(
			cmp.Compare(b.Until, a.Until),
			cmp.Compare(a.Issuer.Instance, b.Issuer.Instance),
			cmp.Compare(a.Issuer.Incarnation, b.Issuer.Incarnation))
	})
	return all[:min(len(all), maxSuccessions)]
}

// dropExpiredSuccessions drops the successions whose keys have all expired. k.mu is held.
func (k *Keys) dropExpiredSuccessions() {
	now := k.config.Now().Unix()
	for issuer, s := range k.successors {
		if s.Until < now {
			delete(k.successors, issuer)
		}
	}
}

// recordSuccession records the instance that acts as the issuer from now on. k.mu is held.
func (k *Keys) recordSuccession(issuer Issuer, to structs.InstanceID, generation uint32) {
	if known, has := k.successors[issuer]; has && known.Generation >= generation {
		return
	}
	until := k.config.Now().Add(k.config.Lifetime + 10*clockSkew).Unix()
	k.successors[issuer] = succession{Issuer: issuer, To: to, Generation: generation, Until: until}
}
