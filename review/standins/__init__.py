"""Stand-ins of the platform, its servers and its clients for the cases."""
