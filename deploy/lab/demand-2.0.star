# Steady load at 2.0 times what the databases can do.
fleet(groups = 3, members = 3)
traffic(demand = 2.0, length = "30s", sockets = 400)
