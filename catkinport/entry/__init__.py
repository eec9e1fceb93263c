"""The entry daemon: callers' requests and the administration API."""
