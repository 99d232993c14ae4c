# Levels of reduced service against none, at 1.6 times the capacity.
fleet(groups = 3, members = 3)
traffic(demand = 1.6, length = "14s")
variant("off")
variant("on", operator = "levels()")
question("worth")
question("in aim", of = "kayit-yaz")
