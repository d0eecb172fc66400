"""Command line: verbs, flags and exit codes."""
