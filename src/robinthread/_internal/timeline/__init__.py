"""Events of all processes in one order that respects cause."""
