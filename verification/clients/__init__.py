"""Crowds of clients outside the operators' control, against real daemons."""
