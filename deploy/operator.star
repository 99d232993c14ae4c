# The operator's file of havenproxy: settings that the platform's configuration does not have. Give it with
# --operator FILE, or name it in HAVEN_OPERATOR; SIGHUP reads it again, and a file with an error changes nothing.
# `havenproxy check FILE` tells what is wrong with it. All lengths of time are strings with a unit ("300ms", "5s"),
# or numbers under a name that ends in _ms or _s.

# The console: `psql -h 127.0.0.1 -p PORT havenproxy`, then SHOW HELP. For clients on loopback only.
console(enabled = True)

# Levels of reduced service, each group of databases by itself. docs/operators/levels.md tells what each setting does.
levels(
    enabled = True,
    enter = 0.08,            # go up when over this part of the worth that a higher level protects is lost ...
    enter_after = "1s",      # ... for this long
    leave = 0.02,            # go down only while no more than this is lost ...
    margin = 0.9,            # ... and the work that would come back fits into this part of the capacity seen ...
    dwell = "5s",            # ... for this long, which doubles with each quick return
    dwell_most = "80s",
    fill = 1.2,              # of the capacity seen that a reduced level lets in
)

# The ladder. "normal", which admits everything, is always the first level. A level says what changes against the one
# below it; a share is the least that is admitted, and what is needed lies between the level below and this one.
level("lean",   admit = {"kendi-siparis": 0.6})
level("spare",  admit = {"kendi-siparis": 0.3})
level("scarce", admit = {"kendi-siparis": 0, "katalog": 0.8})
level("core",   admit = {"katalog": 0}, come_back = {"kendi-siparis": "500ms", "katalog": "500ms"})

# Hold a group at a level, or go no higher than one (without group: all of them):
#   pin("lean", group = 2)
#   cap("scarce")

# While a group has no primary: hold what is likely to be served in time. docs/operators/handover.md tells what each
# setting does.
handover(
    hold = True,
    drain_from = "450ms", drain_to = "800ms",   # how long switches take, before any was seen
    death_from = "2s", death_to = "7s",
)
