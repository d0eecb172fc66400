"""Client of the workers on upstream hosts."""
