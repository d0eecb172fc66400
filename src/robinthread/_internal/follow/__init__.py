"""Following the log: offsets, freshness, catch-up."""
