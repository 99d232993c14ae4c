package tier

import (
	"context"
	"errors"
	"os/exec"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"havenproxy/internal/lab/launch"
	"havenproxy/internal/rollout"
)

func (b *Bench) policy(args ...string) (code int, out string, err error) {
	c := exec.Command(binary, append([]string{"policy"}, append(args, "--planners", strings.Join(b.Addresses, ","))...)...)
	text, err := c.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return 0, "", err
	}
	return c.ProcessState.ExitCode(), string(text), nil
}

// A planner that comes back with an older copy of its log has forgotten what it acknowledged, one with an empty one its vote too. The others
// take no word of it, it ends and says why, and another takes its place: then one more may fail, as before.
func TestAPlannerWhoseLogIsLostIsReplaced(t *testing.T) {
	log := &launch.Lines{}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	b := started(t, Config{Proxies: 2, Planners: 3, Lease: 2 * time.Second, Log: log})
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	change := func(i int) {
		t.Helper()
		if code, out := b.propose(t, i); code != 0 {
			t.Fatalf("change %d: exit %d: %s", i, code, out)
		}
	}
	a, err := b.Client().Status(ctx, 0)
	must(err)
	var rest []int // that don't lead
	for i := range b.Planners {
		if uint64(i+1) != a.Leader {
			rest = append(rest, i)
		}
	}
	old, empty := b.Planners[rest[0]], b.Planners[rest[1]]
	change(1)
	old.Kill()
	must(old.Copy())
	must(old.Start())
	change(2)
	empty.Kill() // so that what follows needs the other's acknowledgement, and the leader has received it
	change(3)
	old.Kill()
	must(empty.Start())
	must(old.Restore())
	must(old.Start())
	if code, ok := old.Ended(ctx); !ok || code != 1 || !log.Has("older copy") {
		t.Fatalf("a planner with an older copy of its log: exit %d, %v", code, ok)
	}
	change(4) // two of three live: who has been killed and started with its own log is heard
	id := old.Name[len("planner"):]
	if code, out, err := b.policy("replace", id, "2=127.0.0.1:1"); err != nil || code != 1 || !strings.Contains(out, "needs a number of its own") {
		t.Errorf("exit %d, %v: %s", code, err, out)
	}
	next, err := b.AddPlanner(4)
	must(err)
	if code, out, err := b.policy("replace", id, "4="+next.Address); err != nil || code != 0 {
		t.Fatalf("exit %d, %v: %s", code, err, out)
	}
	empty.Kill()
	must(empty.Lose())
	must(empty.Start())
	if code, ok := empty.Ended(ctx); !ok || code != 1 || !log.Has("has begun its log anew") && !log.Has("it was lost, or is an older copy") {
		t.Fatalf("a planner with an empty log: exit %d, %v", code, ok)
	}
	change(5) // the new one's word counts: of the first three only one lives
	must(old.Start())
	if code, ok := old.Ended(ctx); !ok || code != 1 || !log.Has("has been replaced") && !log.Has("older copy") {
		t.Fatalf("a planner that has been replaced: exit %d, %v", code, ok)
	}
	next.Kill()
	must(next.Start()) // as the same command, with --join: it has joined
	change(6)
}

// A planner whose disk is full ends and says so; the others go on, and what was acknowledged is there. With room again it takes part again.
func TestAFullDiskEndsOnePlanner(t *testing.T) {
	log := &launch.Lines{}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	b := started(t, Config{Proxies: 1, Planners: 3, Lease: 2 * time.Second, Log: log})
	a, err := b.Client().Status(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	full := b.Planners[a.Leader%3] // not the one that leads
	var none unix.Rlimit
	if err := unix.Prlimit(full.run.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 64 << 10, Max: 64 << 10}, &none); err != nil {
		t.Skip("no limits on files' sizes here: ", err)
	}
	ended := func() bool {
		select {
		case <-full.ended:
			return true
		default:
			return false
		}
	}
	n := 0
	for ; !ended() && ctx.Err() == nil; n++ {
		if code, out := b.propose(t, n); code != 0 {
			t.Fatalf("change %d: exit %d: %s", n, code, out)
		}
	}
	if code, _ := full.Ended(ctx); code != 1 || !log.Has("the log can't be written, so this planner ends") {
		t.Fatalf("a planner with a full disk: exit %d", code)
	}
	if code, out := b.propose(t, n); code != 0 {
		t.Fatalf("exit %d: %s", code, out)
	}
	if err := full.Start(); err != nil {
		t.Fatal(err)
	}
	for c := b.Client(); ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		c.Planners = []string{full.Address}
		if s, err := c.Status(ctx, 0); err == nil && s.State.InForce == rollout.Number(n+1) {
			return
		}
	}
	t.Error("it doesn't take part again")
}
