// Package takeover decides how a keyed write survives the loss of the proxy that received it: which proxies store its record, which one may
// send it, which one takes it over, and how a client that retries with its idempotency key is answered. It does no I/O and reads no clock:
// callers pass in events and the time, and carry out the messages and actions that are returned.
//
// A record is replicated on 2*Quorum - 1 proxies of the tier, which rendezvous hashing of its key selects among the members (Thaler and
// Ravishankar, 1998), so that all proxies with the same list of members select the same replicas. A proxy owns a record while a majority of
// its replicas has granted it a lease (Gray and Cheriton, 1989). The owner counts the lease from when it sent the request, the replica from
// when it answered; only the rates of the two clocks have to agree, within ClockMargin. As two majorities have a replica in common, there is
// one owner at most (as in Lamport's Paxos, with the lease in place of a competing ballot). Epoch tells successive owners apart.
//
// When the lease has expired, the owner sends nothing, and a replica takes the record over. Whether the former owner has sent the write can't
// be seen. It is sent again only while its group is certain to remember the key (handover.Config.ResendDeadline), or if it provably was not sent,
// because too few replicas can have allowed it. Otherwise its outcome is reported as unknown.
//
// What the check before a send does not cover: a process that is paused between the check and the write resumes and writes, though the record
// has been taken over. The group's deduplication drops that write within its window. CheckSent, called after the write, counts such sends.
// Beyond the window the write may be applied twice.
package takeover
