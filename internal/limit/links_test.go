package limit

import "testing"

// TestAnswersBeingReceivedFitTheMemory guards against connections to databases, one of four descriptors, whose largest answers together are
// more than the memory limit.
func TestAnswersBeingReceivedFitTheMemory(t *testing.T) {
	const largest = 160 << 10
	for _, x := range []struct {
		descriptors int
		memory      int64
		want        int
	}{{250, 32 << 20, 102}, {250, 192 << 20, 250}, {58, 32 << 20, 58}, {250, 0, 250}, {250, 1 << 20, 3}, {250, 1, 1}} {
		got := DatabaseConnections(x.descriptors, x.memory, largest)
		if got != x.want {
			t.Errorf("%d descriptors, %d bytes of memory: %d connections, want %d", x.descriptors, x.memory, got, x.want)
		}
	}
}
