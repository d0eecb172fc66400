"""At-most-once claims for requests that must not be repeated."""
