"""Benchmarks of the decision functions and of running daemons.

Most of them are registered and report, on the same input, the figure of a naive
baseline, that of the product and a bound, which is the best figure possible.
"""
