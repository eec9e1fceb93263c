"""Stand-in for the platform: its store, workers, VMs and operator in one process.

It implements the part of the platform's protocol that catkinport uses, with faults that
a test can switch on. The demo, the tests and the soak run against it.
"""
