"""Jobs of many tasks on workers: model, stored state and the owner that runs them."""
