"""Scripts for developers."""
