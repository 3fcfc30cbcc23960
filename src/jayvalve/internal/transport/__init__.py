"""Package transport."""
