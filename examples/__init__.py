"""Example programs that start a small deployment, and example settings files."""
