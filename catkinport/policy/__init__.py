"""Pure decisions: no I/O, no clock and no randomness but what the caller passes."""
