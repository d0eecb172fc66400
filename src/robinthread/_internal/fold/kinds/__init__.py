"""Record kinds of the fleet stream, one module each."""
