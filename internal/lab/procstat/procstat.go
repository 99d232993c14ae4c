// Package procstat reads from /proc what a process uses.
package procstat

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// residentField is the place of the resident pages among a stat file's fields behind the command's name.
const residentField = 21

// Usage reads what CPU time a process's threads have used, as the kernel's scheduler counts it, and how many bytes of memory it holds.
// Both are 0 for a process that is not there.
func Usage(pid int) (cpu time.Duration, resident int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= residentField {
		return 0, 0
	}
	pages, _ := strconv.ParseInt(fields[residentField], 10, 64)
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, t := range threads {
		text, _ := os.ReadFile(t) // a thread that has ended meanwhile is not counted
		if ns, err := strconv.ParseInt(strings.Split(string(text), " ")[0], 10, 64); err == nil {
			cpu += time.Duration(ns)
		}
	}
	return cpu, pages * int64(os.Getpagesize())
}

// Resident reads how many bytes of memory a process holds; 0 for one that is not there. It costs less than Usage.
func Resident(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// LimitDescriptors sets how many descriptors a process may hold.
func LimitDescriptors(pid, limit int) error {
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(limit), Max: uint64(limit)}, nil)
}

// Descriptors counts a process's open file descriptors; 0 for one that is not there.
func Descriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
