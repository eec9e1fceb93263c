"""Jobs of many tasks on workers: the model, its state, and the owner that runs it."""
