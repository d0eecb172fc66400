"""In-memory stand-ins for the platform, used by the demo, the benches and the tests."""
