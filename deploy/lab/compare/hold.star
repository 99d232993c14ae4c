# What does holding writes through planned changes of primary earn? Two drains in each of three groups.
fleet(groups = 3, members = 3)
traffic(demand = 0.6, length = "14s", retries = 2, retry_wait = "100ms", honour_hint = True)
for group in range(3):
    fault("drain", at = "%ds" % (2 + group), group = group, lasts = "2s")
    fault("drain", at = "%ds" % (8 + group), group = group, lasts = "2s")
variant("off")
variant("on", operator = "handover()")
question("worth")
question("in aim", of = "kayit-yaz")
