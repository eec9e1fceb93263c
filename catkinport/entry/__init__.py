"""The entry daemon: it takes callers' requests and jobs, and serves administration."""
