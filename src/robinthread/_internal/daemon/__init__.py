"""The daemon process: its services, their wiring and its periodic tasks."""
