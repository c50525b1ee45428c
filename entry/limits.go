package entry

const (
	// defaultRequestMemory is the memory for what is held for callers on a machine whose memory
	// is unknown.
	defaultRequestMemory = 64 << 20
	// requestMemoryShare is the share of the memory of a machine for what is held for callers. The
	// state view, the program and the garbage of the runtime need the rest.
	requestMemoryShare = 0.33
	// defaultMaxCallers is the number of connections from callers if the descriptors of the
	// machine are unknown.
	defaultMaxCallers = 4096
	// callerShare is the share of the descriptors that callers may have. Each request takes a
	// connection to a target, and the control plane needs some.
	callerShare = 0.4
	// adminMemory and maxAdminBodyBytes limit what is held for readiness checks and readers of
	// metrics.
	adminMemory       = 4 << 20
	maxAdminBodyBytes = 4 << 10
	// maxAdminConnections limits their connections, and adminShare the share of the descriptors
	// that these may have.
	maxAdminConnections = 64
	adminShare          = 0.04
)

// requestMemory returns the memory for what is held for callers, in bytes, on a machine with
// megabytes of memory.
func requestMemory(megabytes int) int {
	if megabytes == 0 {
		return defaultRequestMemory
	}
	return int(requestMemoryShare * float64(megabytes<<20))
}

// maxCallers returns the number of connections from callers on a machine with descriptors.
func maxCallers(descriptors int) int {
	if descriptors == 0 {
		return defaultMaxCallers
	}
	return max(min(int(callerShare*float64(descriptors)), defaultMaxCallers), 1)
}

// maxAdmins returns the number of connections for readiness checks and readers of metrics on a
// machine with descriptors.
func maxAdmins(descriptors int) int {
	if descriptors == 0 {
		return maxAdminConnections
	}
	return max(min(int(adminShare*float64(descriptors)), maxAdminConnections), 1)
}
