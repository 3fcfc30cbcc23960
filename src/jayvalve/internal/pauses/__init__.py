"""Package pauses."""
