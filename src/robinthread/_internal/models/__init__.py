"""Value types of the fleet: frozen dataclasses and enumerations."""
