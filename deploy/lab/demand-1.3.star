# Steady load at 1.3 times what the databases can do.
fleet(groups = 3, members = 3)
traffic(demand = 1.3, length = "30s", sockets = 400)
