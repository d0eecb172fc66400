"""The daemon: its tasks and how they are wired."""
