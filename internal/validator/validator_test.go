package validator

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestIsDialable guards against calls that go to this VM, or to nobody, instead of an upstream.
func TestIsDialable(t *testing.T) {
	for text, want := range map[string]bool{
		"10.0.0.1:8080": true, "127.0.0.1:1": true, "[2001:db8::1]:65535": true,
		"10.0.0.1:0": false, "0.0.0.0:8080": false, "[::]:8080": false, "[::ffff:0.0.0.0]:8080": false,
		"224.0.0.1:8080": false, "[ff02::1]:8080": false, "255.255.255.255:8080": false,
	} {
		t.Run(text, func(t *testing.T) { assert.Equal(t, want, IsDialable(netip.MustParseAddrPort(text))) })
	}
	assert.False(t, IsDialable(netip.AddrPort{}))
}

// TestIsStartTime guards against times that overflow when they are sent to other VMs.
func TestIsStartTime(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		at   time.Time
		want bool
	}{
		"not known":           {time.Time{}, true},
		"now":                 {now, true},
		"by a clock ahead":    {now.Add(time.Hour), true},
		"in a week":           {now.Add(7 * 24 * time.Hour), false},
		"before 1970":         {time.UnixMilli(-1), false},
		"highest millisecond": {time.UnixMilli(math.MaxInt64), false},
		"lowest millisecond":  {time.UnixMilli(math.MinInt64), false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.want, IsStartTime(now, c.at)) })
	}
}

// TestIsName guards against names that can't be sent to other VMs or in a header.
func TestIsName(t *testing.T) {
	for name, want := range map[string]bool{
		"i-7f3a91c2": true, "größe": true, "": false, "\xff": false, "a\nb": false, strings.Repeat("x", MaxNameBytes+1): false,
	} {
		assert.Equal(t, want, IsName(name), "%.20q", name)
	}
}
