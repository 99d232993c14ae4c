# The primary of group 0 takes requests and answers none.
fleet(groups = 3, members = 3)
traffic(demand = 0.5, length = "30s")
fault("hang", at = "8s", group = 0, lasts = "10s")
