# What the proxy itself costs: databases that answer at once, and much traffic. Play it with the proxy on one core:
#   havenlab run deploy/lab/instant.star --pin 1
fleet(groups = 3, members = 3, waiting_room = 1000)
request_class("stok-bakis", work = "20us")
request_class("kendi-siparis", work = "20us")
request_class("katalog", work = "20us")
request_class("yukleme-kontrol", work = "20us")
request_class("kayit-yaz", work = "20us", share = 0.01)
traffic(rps = 6000, length = "10s", sockets = 64)
