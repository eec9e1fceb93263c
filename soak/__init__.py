"""Randomized soak test: real daemons under load, with faults injected from outside.

After each run the recorded events are checked against the promises to the users.
"""
