"""Package report."""
