"""Implementation of the command-line verbs."""
