"""Tests of the soak test itself, and a short run of it."""
