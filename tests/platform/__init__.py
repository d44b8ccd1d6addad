"""Tests of the relay over the platform's protocol, against stand-ins."""
