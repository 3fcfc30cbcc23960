"""Package routing."""
