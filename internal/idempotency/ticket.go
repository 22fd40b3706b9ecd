// Package idempotency runs a request that carries an idempotency key (request key) at most once. A key is a ticket sealed
// by the process that issued it. Only that process, or the one successor to which it hands over its table of used keys,
// may run a request with the key, so no request needs consensus or a log append.
//
// Two ideas come from "TLS Session Resumption: Full-speed and Secure" (Zi Lin, CloudFlare): clients hold the state in a
// sealed ticket, so the issuer stores nothing for an unused key, and every instance accepts a new sealing key before any
// instance seals with it.
package idempotency

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Issuer identifies one process: an instance and its incarnation.
type Issuer struct {
	Instance    structs.InstanceID `msgpack:"i"`
	Incarnation uint64             `msgpack:"n"`
}

// Ticket is the sealed content of a key.
type Ticket struct {
	Issuer   Issuer              `msgpack:"i"`
	Serial   uint64              `msgpack:"s"` // unique for the issuer
	Customer structs.Customer    `msgpack:"c"`
	Service  structs.ServiceName `msgpack:"v"`
	IssuedAt time.Time           `msgpack:"a"` // by the issuer's clock, as is Expires
	Expires  time.Time           `msgpack:"e"`
}
