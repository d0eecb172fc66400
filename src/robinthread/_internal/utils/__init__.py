"""Helpers shared by several packages: HTTP calls, the event loop, files and memory."""
