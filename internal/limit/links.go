package limit

// linkMemoryDivisor is the divisor of the memory limit that gives what answers may take that databases are sending.
const linkMemoryDivisor = 2

// DatabaseConnections returns how many connections to databases a process may have: as many as its descriptors allow, and as many as its memory
// bears if each of them is receiving an answer of the largest size. memory is in bytes; 0 = there is no limit.
func DatabaseConnections(descriptors int, memory, largestAnswer int64) int {
	if memory <= 0 {
		return descriptors
	}
	return max(min(descriptors, int(memory/linkMemoryDivisor/largestAnswer)), 1)
}
