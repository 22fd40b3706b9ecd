// Package idempotency makes a request that carries a key run at most once. A key is a ticket sealed by the process that
// issued it. Only that process, or the one successor that it hands its table to, may run a request with the key, so no
// agreement and no log append is needed per request.
//
// Two ideas are from "TLS Session Resumption: Full-speed and Secure" (Zi Lin, CloudFlare): state is handed to clients in
// a sealed ticket, so the issuer keeps nothing for a key that has not been used, and the next sealing key is accepted
// everywhere before anybody uses it.
package idempotency

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Issuer names one process: an instance and its incarnation.
type Issuer struct {
	Instance    structs.InstanceID `msgpack:"i"`
	Incarnation uint64             `msgpack:"n"`
}

// Ticket is the content of a key.
type Ticket struct {
	Issuer   Issuer              `msgpack:"i"`
	Serial   uint64              `msgpack:"s"` // unique for the issuer
	Customer structs.Customer    `msgpack:"c"`
	Service  structs.ServiceName `msgpack:"v"`
	IssuedAt time.Time           `msgpack:"a"` // by the issuer's clock, as is ExpiresAt
	Expires  time.Time           `msgpack:"e"`
}
