package acceptor

import "golang.org/x/sys/unix"

// ProcessDescriptors returns the number of descriptors that this process may open, and whether that is
// known and limited.
func ProcessDescriptors() (int, bool) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxKnownDescriptors {
		return 0, false
	}
	return int(limit.Cur), true
}

// maxKnownDescriptors is above each limit that bounds anything here.
const maxKnownDescriptors = 1 << 30
