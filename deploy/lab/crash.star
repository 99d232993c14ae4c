# The primary of group 0 dies under ordinary load and comes back cold.
fleet(groups = 3, members = 3)
traffic(demand = 0.5, length = "30s")
fault("crash", at = "8s", group = 0, lasts = "10s")
