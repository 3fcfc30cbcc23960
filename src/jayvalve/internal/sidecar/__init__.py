"""The sidecar: runs attempts at its endpoint and controls access to it."""
