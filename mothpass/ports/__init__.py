"""Interfaces of the core to other processes: messages and callables."""
