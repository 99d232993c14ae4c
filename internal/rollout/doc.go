// Package rollout makes a change of policy take effect in a tier of proxies atomically: on every member or on none, also while members
// are down, paused or partitioned. It does no I/O and reads no clock: callers pass in events and the time, and carry out the messages and
// commands that are returned.
//
// It has three parts. State is the replicated state machine that all planners derive from their log. Leader is the volatile state of the
// leading planner, lost with its leadership. Proxy is the participant in each proxy.
//
// The protocol is a commit whose outcome is decided by a replicated log (J. Gray and L. Lamport, "Consensus on Transaction Commit", 2006),
// so a process that dies does not block the others while a majority of planners lives:
//
//  1. The leader offers the change to all members, and each agrees or refuses.
//  2. When all have agreed, the leader starts a round and asks every member to hold new requests.
//  3. When all members hold, the leader writes Commit to the log. No request is admitted under the new policy before that entry, and none
//     under the old one after it.
//  4. A member that holds resumes only on a Status message, which carries the decision of the log.
//
// Leases (C. Gray and D. Cheriton, "Leases", 1989) bound how long a change waits for an unreachable member. The proxy counts its lease
// from when it sent the renewal, the planner from when it granted it. Only the rates of the two clocks have to agree, within ClockMargin
// per Lease. A lease does not protect against a machine whose monotonic clock stands still, for example a suspended virtual machine: it
// resumes with a lease that the planners regard as expired.
package rollout
