"""Small stand-ins for the platform, used by the demo and the tests."""
