package hub

const (
	// controlMemory is the memory for calls that have not ended on a machine whose memory is
	// unknown, controlMemoryShare the share of one whose memory is known. The state of the fleet
	// needs most of it.
	controlMemory      = 48 << 20
	controlMemoryShare = 0.15
	// maxControlConnections is the number of connections for such calls if the descriptors of the
	// machine are unknown, controlConnectionShare the share of those that are known. Each target
	// keeps one, and while other hubs are lost one hub has most of them: with 1,024 connections it
	// closed those of 3,000 targets all the time.
	maxControlConnections  = 2048
	controlConnectionShare = 0.5
	// maxUnknown and unknownShare limit the connections of which it is not known yet whether a
	// host or another client has connected.
	maxUnknown   = 512
	unknownShare = 0.125
	// adminMemory and maxAdminBodyBytes limit what is held for health checks and readers of
	// metrics.
	adminMemory       = 4 << 20
	maxAdminBodyBytes = 4 << 10
	// maxAdminConnections limits their connections, and adminShare the share of the descriptors
	// that these may have.
	maxAdminConnections = 64
	adminShare          = 0.04
)

// callMemory returns the memory for calls that have not ended, in bytes, on a machine with
// megabytes of memory.
func callMemory(megabytes int) int {
	if megabytes == 0 {
		return controlMemory
	}
	return int(controlMemoryShare * float64(megabytes<<20))
}

// maxConnections returns the number of connections for calls on a machine with descriptors.
func maxConnections(descriptors int) int {
	if descriptors == 0 {
		return maxControlConnections
	}
	return max(int(controlConnectionShare*float64(descriptors)), 1)
}

// maxUnknownConnections returns the number of connections whose first bytes have not come, on a
// machine with descriptors.
func maxUnknownConnections(descriptors int) int {
	if descriptors == 0 {
		return maxUnknown
	}
	return max(int(unknownShare*float64(descriptors)), 1)
}

// maxAdmins returns the number of connections for health checks and readers of metrics on a
// machine with descriptors.
func maxAdmins(descriptors int) int {
	if descriptors == 0 {
		return maxAdminConnections
	}
	return max(min(int(adminShare*float64(descriptors)), maxAdminConnections), 1)
}
