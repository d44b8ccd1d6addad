"""Tests of which models mothpass-spec checks."""

import pathlib
import unittest

from mothpass.programs import mothpass_spec
import spec


class FindModelsTest(unittest.TestCase):
    """Checks that no model is left out."""

    def test_each_module_with_a_run_function_is_found(self) -> None:
        (folder,) = map(pathlib.Path, spec.__path__)
        wanted = {
            path.stem
            for path in folder.glob("*.py")
            if "\ndef run()" in path.read_text(encoding="utf-8")
        }
        self.assertEqual(set(mothpass_spec.find_models()), wanted)
        self.assertLessEqual({"claims", "catalogue"}, wanted)


if __name__ == "__main__":
    unittest.main()
