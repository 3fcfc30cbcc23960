"""Package scheduling."""
