# Twice the ordinary traffic for five seconds.
fleet(groups = 3, members = 3)
traffic(demand = 0.5, shape = steps(at = {"8s": 2.2, "13s": 1}), length = "30s", sockets = 400)
