"""The node process on each entry host: it accepts jobs from callers and owns pools."""
