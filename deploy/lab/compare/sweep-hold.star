# How likely should it be that a write is served in time before it is held?
fleet(groups = 3, members = 3)
traffic(demand = 0.6, length = "20s", retries = 2, retry_wait = "100ms", honour_hint = True)
for group in range(3):
    fault("crash", at = "%ds" % (3 + group), group = group, lasts = "6s")
sweep(operator = "handover(likely = {likely}, keep = 0.3, late_cost = {late_cost})",
      values = {"likely": [0.3, 0.45, 0.6, 0.75, 0.9], "late_cost": [0.1, 0.3, 0.9]})
question("worth")
runs(looks = [12])
