"""The fold of log records into the fleet state, one record kind a module."""
