# One policy for all proxies; docs/operators/policy.md tells what each setting does. No two proxies may share a name.
tier(
    name = "NAME",
    planners = ["127.0.0.1:7401", "127.0.0.1:7402", "127.0.0.1:7403"],
    cut_off = "stop",       # or "go on", without leases
    lease = "2s",
    tell_clients = True,
)
console(enabled = True)
