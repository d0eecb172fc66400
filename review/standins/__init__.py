"""Stand-ins of the platform for the scripts of this review; they need Python's library alone."""
