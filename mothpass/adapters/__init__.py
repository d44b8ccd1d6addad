"""Adapters that implement the ports over HTTP, gRPC and UDP."""
