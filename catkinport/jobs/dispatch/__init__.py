"""State of a fleet's jobs, tasks and runs, and how orders and reports change it."""
