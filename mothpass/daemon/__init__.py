"""The daemon: wires the core to the adapters on one event loop."""
