"""Decisions on which waiting tasks start where, and which runs stop."""
