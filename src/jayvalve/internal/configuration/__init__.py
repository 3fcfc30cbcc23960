"""Package configuration."""
