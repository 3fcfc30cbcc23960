"""Package membership."""
