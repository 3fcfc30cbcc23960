"""Package standins."""
