package launcher

import (
	"math"

	"golang.org/x/sys/unix"

	"github.com/yuccathread/yuccathread/internal/accountant"
	"github.com/yuccathread/yuccathread/internal/receiver"
)

const (
	// defaultDescriptors is the number of descriptors where neither the settings nor the
	// system bound it.
	defaultDescriptors = 1 << 16
	// connectionPercent is the part of the descriptors that connections may use. The rest is for
	// listeners, files, the store, other instances, and what is being opened.
	connectionPercent = 85
	// callerPercent is the part of all connections that callers may have, so that their requests
	// find room for connections to servers.
	callerPercent = 75
	// The connections of a control address are bounded by a part of all connections, but not
	// below minControlConnections: an address that callers use, one for other instances, and one
	// that a few checkers use.
	lookUpPart            = 8
	peerPart              = 8
	checkPart             = 32
	minControlConnections = 16
)

// connectionLimit returns how many connections may be open.
func connectionLimit(setting int, systemLimit func() uint64) int {
	descriptors := uint64(defaultDescriptors)
	if setting > 0 {
		descriptors = uint64(setting)
	}
	return int(min(descriptors, systemLimit())) * connectionPercent / 100
}

// descriptorLimit returns the number of descriptors that the system allows the process.
func descriptorLimit() uint64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxUint64
	}
	return limit.Cur
}

// callerConnections returns how many connections callers may have. Those above the share at
// which responses begin to close them are cut off.
func (l *Launcher) callerConnections() int {
	byMemory := l.accountant.Limit / 100 * accountant.MaxConnectionPercent / receiver.ConnectionBytes
	return max(min(l.acceptor.Limit*callerPercent/100, int(byMemory)), 1)
}

func (l *Launcher) controlConnections(address string) int {
	part := checkPart
	switch address {
	case l.Settings.LookUpAddress:
		part = lookUpPart
	case l.Settings.PeerAddress:
		part = peerPart
	}
	return max(l.acceptor.Limit/part, minControlConnections)
}
