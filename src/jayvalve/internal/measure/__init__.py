"""Package measure."""
