# The primary of group 0 drains, hands over and comes back cold.
fleet(groups = 3, members = 3)
traffic(demand = 0.5, length = "30s")
fault("drain", at = "8s", group = 0, lasts = "6s")
