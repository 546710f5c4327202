package ident

import "net/netip"

// MaxSlots is the highest number of slots of one target.
const MaxSlots = 100_000

// IsAddress reports whether s is an IP address and a port from 1 to 65535, such as
// 127.0.0.1:8080.
func IsAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}
