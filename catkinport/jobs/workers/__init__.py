"""The owner's records of workers, and what their reports say of them."""
