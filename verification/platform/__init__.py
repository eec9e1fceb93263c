"""Trial deployments of the platform's daemon against a simulated platform.

The simulated platform is called the stand-in. It has a store, VMs and workers, which
record what they run.
"""
