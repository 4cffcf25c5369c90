"""The wrong versions of `tools.wrong_versions` fit the present sources, and their tests exist."""

import tempfile
import unittest
from pathlib import Path

from tools.wrong_version_list import WrongVersion
from tools.wrong_versions import ALL_VERSIONS, ROOT, StaleVersionError, make_wrong


class WrongVersions(unittest.TestCase):
    def test_each_replaces_a_text_that_occurs_exactly_once(self) -> None:
        for version in ALL_VERSIONS:
            with self.subTest(version.what):
                text = (ROOT / version.path).read_text(encoding="utf-8")
                self.assertEqual(text.count(version.old), 1)
                self.assertNotEqual(version.new, version.old)

    def test_the_tests_that_have_to_fail_exist(self) -> None:
        for version in ALL_VERSIONS:
            for test in version.tests:
                with self.subTest(test):
                    suite = unittest.defaultTestLoader.loadTestsFromName(test)
                    self.assertGreater(suite.countTestCases(), 0)
                    self.assertNotIn("_FailedTest", str(suite))

    def test_a_stale_version_is_reported_with_its_file(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            (Path(name) / "a.py").write_text("one\n")
            stale = WrongVersion("RULE", "what", "a.py", "two", "three", ())
            with self.assertRaises(StaleVersionError) as caught:
                make_wrong(stale, Path(name))
            self.assertIn("a.py has 0 times 'two'", str(caught.exception))
