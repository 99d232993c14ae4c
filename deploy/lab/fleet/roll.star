# Half of the databases are replaced in steps, one a group and step, while all proxies are restarted, a tenth at a time.
fleet(groups = 30, members = 4)
proxy(count = 300)
tier(uneven = 1.6, peer_loss = 0.01, list_calls = 600)
network(way = "0.5ms", jitter = "0.3ms")
prices(probe = 0.011, message = 0.0072)
traffic(demand = 0.6, length = "24s", retries = 2, retry_wait = "50ms", honour_hint = True)
for step in range(2):
    for group in range(30):
        fault("drain", at = "%dms" % (2000 + 8000 * step + 200 * group), group = group, member = 3 - step, lasts = "1s")
for tenth in range(10):
    stop(at = "%ds" % (2 + 2 * tenth), first = tenth / 10, share = 0.1, lasts = "500ms", orderly = True)
variant("alone", peers = False)
variant("peers", peers = True)
question("net worth", least = 0.005)
question("worth", least = 0.005)
question("probes")
question("messages")
question("misroutes")
runs(looks = [6, 12])
