"""Stand-in of the platform: its store, its workers, its VMs and its operator.

One process that speaks the platform's protocol as far as catkinport uses it, with
faults that a test switches on. It serves the demo, the tests and the soak.
"""
