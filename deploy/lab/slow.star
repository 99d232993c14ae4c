# A replica of group 0 runs six times slower.
fleet(groups = 3, members = 3)
traffic(demand = 0.5, length = "30s")
fault("slow", at = "8s", group = 0, member = 1, lasts = "12s", factor = 6)
