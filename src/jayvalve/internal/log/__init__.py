"""Package log."""
