"""Client for the workers on upstream hosts."""
