"""Package engines."""
