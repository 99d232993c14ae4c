# Does a narrow ping window cost anything, where one replica of three answers slowly?
fleet(groups = 3, members = 4)
traffic(demand = 0.7, length = "12s")
fault("slow", at = "3s", group = 0, member = 1, lasts = "8s", factor = 4)
variant("15 ms")
variant("1 ms", operator = "routing(ping_window = '1ms')")
question("worth")
question("in aim", of = "stok-bakis")
