"""Models of the core protocols as transition relations, verified by model checking."""
