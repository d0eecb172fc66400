"""Command line: parsing of verbs, flags and exit codes."""
