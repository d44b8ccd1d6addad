"""Messages and function types through which the core meets the world."""
