package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFewRequestsDoNotWaitBehindManyBusyFlows guards against a hundred clients that always have something to do, behind each of
// which a client that asks now and then had to wait.
func TestFewRequestsDoNotWaitBehindManyBusyFlows(t *testing.T) {
	const turn, request = 250 * time.Microsecond, 50 * time.Microsecond
	const known = 3 // requests after which it is known that it asks for little
	var q FairQueue[int]
	busy := make([]Flow, 100)
	var modest Flow
	now, asked, nextRequest, longest, served := time.Duration(0), time.Duration(0), 10*time.Millisecond, time.Duration(0), 0
	for i := range busy {
		q.Push(i, &busy[i])
	}
	for served < 100 {
		if asked == 0 && now >= nextRequest {
			asked = now
			q.Push(-1, &modest)
		}
		value, flow := q.Pop()
		length := turn
		if value < 0 {
			length = request
			if served++; served > known {
				longest = max(longest, now-asked)
			}
			asked, nextRequest = 0, now+10*time.Millisecond
		}
		now += length
		q.EndTurn(flow, length)
		if value >= 0 {
			q.Push(value, flow)
		}
	}
	if longest > 2*turn {
		t.Errorf("a request waited for %v, a turn of the others takes %v", longest, turn)
	}
}

// TestFlowsShareEqually guards against a flow that gets more than its part, by short turns or long ones, or starves.
func TestFlowsShareEqually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lengths := rapid.SliceOfN(rapid.IntRange(1, 1000), 2, 8).Draw(t, "lengths")
		var q FairQueue[int]
		flows, used := make([]Flow, len(lengths)), make([]int, len(lengths))
		for i := range flows {
			q.Push(i, &flows[i])
		}
		for range 2000 {
			i, flow := q.Pop()
			used[i] += lengths[i]
			q.EndTurn(flow, time.Duration(lengths[i]))
			q.Push(i, flow)
		}
		for i := range used {
			for j := range used {
				if used[i]-used[j] > lengths[i]+lengths[j] {
					t.Fatalf("flows with turns of %v have used %v", lengths, used)
				}
			}
		}
	})
}

// TestFlowsAreTakenOnce guards against a flow that waits twice, or waits on after it was taken out.
func TestFlowsAreTakenOnce(t *testing.T) {
	var q FairQueue[string]
	var a, b, c Flow
	q.Push("a", &a)
	q.Push("b", &b)
	q.Push("a", &a)
	q.Push("c", &c)
	q.Remove(&b)
	q.Remove(&b)
	if q.Len() != 2 {
		t.Fatalf("%d flows wait", q.Len())
	}
	first, _ := q.Pop()
	q.Push("a", &a)
	if q.Len() != 1 {
		t.Error("a flow waits during its turn")
	}
	second, _ := q.Pop()
	if first != "a" || second != "c" {
		t.Errorf("taken: %s, %s", first, second)
	}
	if again := [2]bool{q.EndTurn(&a, 1), q.EndTurn(&c, 1)}; again != [2]bool{true, false} {
		t.Errorf("further turns are wanted: %v", again)
	}
}
