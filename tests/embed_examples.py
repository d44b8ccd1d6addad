"""Loads the scripts in examples/embed, which belong to no package."""

import importlib.util
import pathlib
import types

_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "examples" / "embed"


def load(name: str) -> types.ModuleType:
    """Returns an example by its name, as a module."""
    spec = importlib.util.spec_from_file_location(name, _FOLDER / f"{name}.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module
