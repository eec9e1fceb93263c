"""The owner of a fleet: its election, its loops and the rows that it stores."""
