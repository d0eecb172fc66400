"""Events of all processes in one causally consistent order."""
