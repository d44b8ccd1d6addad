"""Loads the examples of examples/embed, which are no part of a package."""

import importlib.util
import pathlib
import types

_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "examples" / "embed"


def load(name: str) -> types.ModuleType:
    """Returns the module of an example by its name."""
    found = importlib.util.spec_from_file_location(name, _FOLDER / f"{name}.py")
    assert found is not None and found.loader is not None
    module = importlib.util.module_from_spec(found)
    found.loader.exec_module(module)
    return module
