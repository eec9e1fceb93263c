"""End-to-end tests of the platform's daemon."""
