"""Package programs."""
