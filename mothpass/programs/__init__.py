"""One module a binary."""
