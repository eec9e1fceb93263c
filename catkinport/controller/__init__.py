"""The controller daemon: jobs, placement, VMs and maintenance."""
