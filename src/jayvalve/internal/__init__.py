"""What the daemons and tools are made of; names here may change in any release."""
