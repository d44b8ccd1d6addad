"""Entry point of the relay daemon."""

import importlib
import signal
import sys


def main() -> int:
    """Loads and runs the daemon; returns its exit status."""
    # A SIGHUP that arrives while modules are imported must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    daemon = importlib.import_module("mothpass.platform.daemon")
    status: int = daemon.main()
    return status


if __name__ == "__main__":
    sys.exit(main())
