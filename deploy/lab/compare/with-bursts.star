fleet(groups = 3, members = 3)
traffic(demand = 0.7, length = "12s", shape = bursts(apart = "3s", length = "1s", times = 3, seed = 4))
