# What is worse for the clients, a primary that crashes or one that hangs?
fleet(groups = 3, members = 3)
traffic(demand = 0.6, length = "12s")
fault("crash", at = "3s", group = 0, lasts = "7s")
variant("crash")
variant("hang", scenario = "with-hang.star")
question("worth")
question("in aim", of = "kayit-yaz")
