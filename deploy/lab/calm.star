# An ordinary quarter of an hour, in short.
fleet(groups = 3, members = 3)
traffic(demand = 0.5, length = "20s")
