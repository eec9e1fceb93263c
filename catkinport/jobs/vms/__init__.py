"""Decisions on the VMs of the pools: upkeep, moves and room for lasting tasks."""
