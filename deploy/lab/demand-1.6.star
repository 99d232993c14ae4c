# Steady load at 1.6 times what the databases can do.
fleet(groups = 3, members = 3)
traffic(demand = 1.6, length = "30s", sockets = 400)
