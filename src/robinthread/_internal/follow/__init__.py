"""Reading and appending to the fleet stream of the log, and the platform's host list."""
