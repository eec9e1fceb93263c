"""Decision rules without I/O; the caller passes the time and any random source."""
