package idempotency

import (
	"cmp"
	"context"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// topicSuccessors carries the known successions with the heartbeats. Every instance passes on what it learns, so that
// it reaches all data centres, of which only a few instances exchange heartbeats with each other.
const topicSuccessors = "idempotency.successors"

// maxSuccessions bounds the value of the topic; the newest are kept. 6,400 restarts a day are 45 in a key's lifetime.
const maxSuccessions = 128

// succession tells who acts as the issuer of the keys of a process that stopped.
type succession struct {
	Issuer     Issuer             `msgpack:"i"`
	To         structs.InstanceID `msgpack:"t"`
	Generation uint32             `msgpack:"g"` // a later hand-over of the same table has a higher one
	Until      int64              `msgpack:"u"` // Unix seconds after which every key of the issuer has expired
}

// ExchangeSuccessors makes the keys exchange the successions with the other instances. Call it before values are sent;
// the returned function takes over what the peers send, until ctx ends.
func (k *Keys) ExchangeSuccessors(view membership.View, values membership.Values) func(ctx context.Context) error {
	values.Attach(topicSuccessors, membership.Everywhere, func() any { return k.successions() })
	return func(ctx context.Context) error {
		for {
			changed := values.Watch(topicSuccessors)
			k.learnFrom(view, values)
			select {
			case <-changed:
			case <-ctx.Done():
				return nil
			}
		}
	}
}

func (k *Keys) learnFrom(view membership.View, values membership.Values) {
	for id := range view.AllEntries() {
		var received []succession
		if _, found, err := values.Value(id, topicSuccessors, &received); found && err == nil {
			k.learn(received)
		}
	}
}

// learn takes over successions with a higher generation than the known ones.
func (k *Keys) learn(received []succession) {
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

// successions returns what the peers are to know, newest first in order of expiry.
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

// forgetSuccessors drops the successions whose keys have all expired. k.mu is held.
func (k *Keys) forgetSuccessors() {
	now := k.config.Now().Unix()
	for issuer, s := range k.successors {
		if s.Until < now {
			delete(k.successors, issuer)
		}
	}
}

// succeed notes who acts for a table from now on. k.mu is held.
func (k *Keys) succeed(issuer Issuer, to structs.InstanceID, generation uint32) {
	if known, has := k.successors[issuer]; has && known.Generation >= generation {
		return
	}
	until := k.config.Now().Add(k.config.Lifetime + 10*clockSkew).Unix()
	k.successors[issuer] = succession{Issuer: issuer, To: to, Generation: generation, Until: until}
}
