"""Stand-ins for targets and the platform's services, for tests and demos."""
