package limit

import "time"

// memoryLevels are the parts of the memory limit, in percent, whose crossing is reported.
var memoryLevels = [...]int{50, 70, 85, 95}

// minMemoryReportInterval is the minimum time between two reports of the same level or a lower one.
const minMemoryReportInterval = 5 * time.Second

// MemoryWatch decides when the memory that the process uses is to be reported: as it rises over a further part of the
// limit, and from time to time while it stays there.
type MemoryWatch struct {
	Limit int64 // bytes; 0 = there is none, and nothing is reported

	level    int // the number of memoryLevels that were passed at the last report
	reported time.Duration
}

// Report notes that the process uses that many bytes, and returns whether it is to be reported.
func (w *MemoryWatch) Report(now time.Duration, used int64) bool {
	level := w.passed(used)
	rises := level > w.level
	if level == 0 || !rises && now-w.reported < minMemoryReportInterval {
		if now-w.reported >= minMemoryReportInterval {
			w.level = level
		}
		return false
	}
	w.level, w.reported = level, now
	return true
}

// passed returns the number of levels that the use has passed.
func (w *MemoryWatch) passed(used int64) (level int) {
	if w.Limit <= 0 {
		return 0
	}
	for _, percent := range memoryLevels {
		if used*100 >= w.Limit*int64(percent) {
			level++
		}
	}
	return level
}
