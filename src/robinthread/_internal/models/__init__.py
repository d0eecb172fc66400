"""Value types of the fleet: frozen dataclasses, structs and enumerations."""
