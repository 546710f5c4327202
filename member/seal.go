package member

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/go-faster/errors"
)

// sealBytes is the length of a datagram's authentication code.
const sealBytes = 16

// errSeal reports a datagram from outside the fleet.
var errSeal = errors.New("datagram is not from this fleet: set fleet_secret alike on every daemon")

// Seal puts an authentication code before a datagram.
func Seal(secret, datagram []byte) []byte {
	return append(code(secret, datagram), datagram...)
}

// Open checks and removes the authentication code.
func Open(secret, sealed []byte) ([]byte, error) {
	if len(sealed) < sealBytes || !hmac.Equal(sealed[:sealBytes], code(secret, sealed[sealBytes:])) {
		return nil, errSeal
	}
	return sealed[sealBytes:], nil
}

func code(secret, b []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(b)
	return h.Sum(nil)[:sealBytes]
}
