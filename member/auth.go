package member

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/go-faster/errors"
)

// macBytes is the length of a datagram's message authentication code (MAC).
const macBytes = 16

// errBadMAC reports a datagram that was not signed with the fleet's secret.
var errBadMAC = errors.New("datagram authentication failed: set the same fleet_secret on every daemon")

// Sign prepends a MAC to a datagram: HMAC-SHA256, cut to 16 bytes. The datagram
// is not encrypted.
func Sign(secret, datagram []byte) []byte {
	return append(computeMAC(secret, datagram), datagram...)
}

// Verify checks a signed datagram and returns it without its MAC, in the same
// memory. It returns an error if the datagram is too short or the MAC does not
// match the secret.
func Verify(secret, signed []byte) ([]byte, error) {
	if len(signed) < macBytes || !hmac.Equal(signed[:macBytes], computeMAC(secret, signed[macBytes:])) {
		return nil, errBadMAC
	}
	return signed[macBytes:], nil
}

func computeMAC(secret, datagram []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(datagram)
	return h.Sum(nil)[:macBytes]
}
