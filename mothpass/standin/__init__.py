"""Small stand-ins for targets and the platform, for tests and demos."""
