"""Package placement."""
