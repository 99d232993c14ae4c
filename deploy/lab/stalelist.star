# A replica dies while the list stands still.
fleet(groups = 3, members = 3)
traffic(demand = 0.5, length = "30s")
fault("stalelist", at = "7s", lasts = "15s")
fault("crash", at = "8s", group = 0, member = 1, lasts = "8s")
