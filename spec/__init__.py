"""The core protocol as small transition relations, checked by model checking."""
