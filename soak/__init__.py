"""Randomized soak: the real daemons under faults from outside, checked by promises."""
