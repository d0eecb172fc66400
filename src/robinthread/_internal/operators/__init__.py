"""Remote procedure calls for operators."""
