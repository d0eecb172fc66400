"""Application of log records to the fleet state, with a module for each kind of record."""
