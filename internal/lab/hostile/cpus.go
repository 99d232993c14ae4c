package hostile

import (
	"fmt"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// Division is how the machine's CPUs are divided, so that neither the hostile clients nor the program delay the well-behaved clients and
// the databases, which run in this process.
type Division struct {
	all       unix.CPUSet
	attackers unix.CPUSet
	own       unix.CPUSet // of this process
}

// Divide gives the program the CPU with that number, counted from 1 (0 = any), the hostile clients the last of the others, and this process
// the rest. A machine with too few CPUs is not divided.
func Divide(pin int) *Division {
	d := &Division{}
	if unix.SchedGetaffinity(0, &d.all) != nil {
		return d
	}
	d.attackers, d.own = d.all, d.all
	if pin > 0 {
		d.own.Clear(pin - 1)
		d.attackers.Clear(pin - 1)
	}
	if d.own.Count() < 2*attackerCPUs {
		return d
	}
	d.attackers = unix.CPUSet{}
	for cpu := len(d.own)*64 - 1; cpu >= 0 && d.attackers.Count() < attackerCPUs; cpu-- {
		if d.own.IsSet(cpu) {
			d.own.Clear(cpu)
			d.attackers.Set(cpu)
		}
	}
	return d
}

// Apply keeps this process to its CPUs. The function that it returns undoes that.
func (d *Division) Apply() (undo func()) {
	if d.own.Count() == 0 {
		return func() {}
	}
	setAllThreads(os.Getpid(), &d.own)
	return func() { setAllThreads(os.Getpid(), &d.all) }
}

// setAllThreads keeps all threads of a process to some CPUs; threads that they start inherit that.
func setAllThreads(pid int, cpus *unix.CPUSet) {
	if cpus.Count() == 0 {
		return
	}
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return
	}
	for _, task := range tasks {
		if tid, err := strconv.Atoi(task.Name()); err == nil {
			unix.SchedSetaffinity(tid, cpus)
		}
	}
}
