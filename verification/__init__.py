"""Fault schedules against real processes; recorded histories are checked afterwards.

A *promise* is a guarantee that the system gives its users. The promises are numbered
P1 to P11; ``checkers`` has a check for each of those that a history can show broken.
"""
