"""Entry point of the relay daemon."""

import gc
import importlib
import signal
import sys


def main() -> int:
    """Loads and runs the daemon; returns its exit status."""
    # A SIGHUP that arrives while modules are imported must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # The objects of modules live as long as the process: collections would
    # only go through them in vain, at each start of a daemon and after it.
    gc.disable()
    daemon = importlib.import_module("mothpass.platform.daemon")
    gc.freeze()
    gc.enable()
    status: int = daemon.main()
    return status


if __name__ == "__main__":
    sys.exit(main())
