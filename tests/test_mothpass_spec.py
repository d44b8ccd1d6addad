"""Tests of which models mothpass-spec finds."""

import pathlib
import unittest

from mothpass.programs import mothpass_spec
import spec


class FindModelsTest(unittest.TestCase):
    """Checks that no model is left out."""

    def test_each_module_with_a_run_function_is_found(self) -> None:
        (folder,) = map(pathlib.Path, spec.__path__)
        expected = {
            path.stem
            for path in folder.glob("*.py")
            if "\ndef run()" in path.read_text(encoding="utf-8")
        }
        self.assertEqual(set(mothpass_spec.find_models()), expected)
        self.assertLessEqual({"claims", "catalogue"}, expected)


if __name__ == "__main__":
    unittest.main()
