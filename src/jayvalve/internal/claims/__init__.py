"""Package claims."""
