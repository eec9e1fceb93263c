"""Fleet capacity and maintenance manager for shared services."""

__version__ = "0.1.0"
