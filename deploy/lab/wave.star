# Load that hovers round what the databases can do: a wave of ten seconds, 15 % up and down.
fleet(groups = 3, members = 3)
traffic(demand = 1.1, shape = sine(period = "10s", swing = 0.15), length = "180s")
