"""Fleet capacity and maintenance manager."""

__version__ = "0.1.0"
