fleet(groups = 3, members = 3)
traffic(demand = 0.7, length = "12s")
fault("slow", at = "2s", group = 0, lasts = "9s", factor = 3)
