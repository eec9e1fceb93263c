"""Tests of the platform's daemon as processes."""
