fleet(groups = 3, members = 3)
traffic(demand = 0.6, length = "12s")
fault("hang", at = "3s", group = 0, lasts = "7s")
