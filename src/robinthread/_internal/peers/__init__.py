"""Messages between daemons."""
