# The same traffic, steady and in bursts.
fleet(groups = 3, members = 3)
traffic(demand = 0.7, length = "12s")
variant("steady")
variant("bursts", scenario = "with-bursts.star")
question("worth")
question("in aim", of = "stok-bakis")
