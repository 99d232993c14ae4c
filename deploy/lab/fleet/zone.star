# A zone's databases are lost for 5 s and come back cold; then a zone is cut off; one of eight databases is slow or failing.
fleet(groups = 30, members = 4)
proxy(count = 300)
tier(uneven = 1.6, peer_loss = 0.01, list_calls = 600)
network(way = "0.5ms", jitter = "0.3ms")
prices(probe = 0.011, message = 0.0072)
traffic(demand = 0.5, length = "26s", retries = 2, retry_wait = "50ms", honour_hint = True)
for group in range(30):
    for member in range(4):
        if (group + member) % 3 == 0:
            fault("crash", at = "5s", group = group, member = member, lasts = "5s")
for bad in range(0, 29, 4):
    fault("slow", at = "4s", group = bad, member = 2, factor = 4, lasts = "18s")
    fault("errors", at = "4s", group = bad + 1, member = 2, share = 0.5, lasts = "18s")
split(at = "17s", lasts = "3s", zone = 1)
variant("alone", peers = False)
variant("peers", peers = True)
question("net worth", least = 0.005)
question("worth", least = 0.005)
question("probes")
question("messages")
question("misroutes")
runs(looks = [6, 12])
