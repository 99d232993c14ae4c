# A primary that runs three times slower for nine seconds, against none.
fleet(groups = 3, members = 3)
traffic(demand = 0.7, length = "12s")
variant("well")
variant("slow", scenario = "with-slow.star")
question("worth")
question("in aim", of = "kayit-yaz")
