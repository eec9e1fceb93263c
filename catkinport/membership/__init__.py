"""Roster, freshness lease and distribution of the configuration."""
