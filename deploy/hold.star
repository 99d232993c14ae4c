# Hold what needs a primary while a group has none, and nothing else: for measuring what that is worth.
# docs/operators/handover.md tells what each setting does.
handover()
