"""The environment's document and the settings of a process, with their validation."""
