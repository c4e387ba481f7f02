// Package validator checks values that come from other programs before anything is decided on them.
package validator

import (
	"net/netip"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxTimeAhead is how far a time of another program may lie ahead of this one's clock.
	MaxTimeAhead = 24 * time.Hour
	// MaxNameBytes limits ids and names of other programs.
	MaxNameBytes = 256
)

// IsDialable reports whether a connection to the address reaches one other program: an unspecified
// address would reach this VM, a multicast or broadcast address none.
func IsDialable(a netip.AddrPort) bool {
	ip := a.Addr().Unmap()
	return a.IsValid() && a.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip != broadcast
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// IsStartTime reports whether a program may have started at a time, zero if it is not known. Times
// out of the range of nanoseconds since 1970 are none.
func IsStartTime(now, t time.Time) bool {
	return t.IsZero() || t.Unix() >= 0 && !t.After(now.Add(MaxTimeAhead))
}

// IsText reports whether a string has at most maxBytes, is valid UTF-8, as messages between VMs must
// be, and has no control characters.
func IsText(s string, maxBytes int) bool {
	if len(s) > maxBytes || !utf8.ValidString(s) {
		return false
	}
	for _, r := range s {
		if unicode.IsControl(r) {
			return false
		}
	}
	return true
}

// IsName reports whether a string is a text of 1 to MaxNameBytes.
func IsName(s string) bool { return s != "" && IsText(s, MaxNameBytes) }
