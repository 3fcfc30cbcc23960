"""Package limits."""
