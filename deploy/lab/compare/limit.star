# A low first limit against the default, under overload from the first second on.
fleet(groups = 3, members = 3)
traffic(demand = 1.3, length = "12s")
variant("36")
variant("6", operator = "routing(first_limit = 6)")
question("worth")
question("in aim", of = "katalog")
