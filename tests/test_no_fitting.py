"""Nothing that decides depends on a customer's site: its names stand nowhere in the product's code.

Docstrings and comments may name a site, as they say on which days a figure was measured.
"""

import ast
import re
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path

_ROOT = Path(__file__).parent.parent
_PRODUCT = ("sprucewinch", "platform", "deploy")

_NAMES = (
    # deployments and their days
    *("cfqc", "kovacs", "beszedo", "cymoedd", "llaeth"),
    *("quiet-1", "trouble-1", "trouble-2", "trouble-3", "scale-1", "scale-2"),
    # services and kinds of requests
    *("ratebook", "bookdesk", "docintake", "rate-lookup", "quote-accept", "manifest-upload"),
    *("egyenleg", "befizetes", "fokonyv", "balance-lookup", "payment-post", "ledger-upload"),
    *("round-viewer", "pickup-book", "payout-desk", "tank-query", "pickup-log", "milk-payout"),
    # regions and data halls
    *("lower-mainland", "interior", "island", "delta-hall", "burnaby", "richmond-c", "kamloops"),
    *("kelowna", "vernon-c", "nanaimo", "victoria-b", "courtenay", "budapest", "debrecen", "pecs"),
    *("angyalfold", "csepel", "kobanya", "nagyerdo", "jozsa", "epreskert", "uranvaros", "meszes"),
    *("kertvaros", "north-wales", "mid-wales", "south-wales", "bangor", "wrexham", "aber-hall"),
    *("newtown", "carmarthen", "swansea"),
)
"""Names of the deployments that users have given so far, or the part of them that is their own."""


def _spellings(name: str) -> tuple[str, ...]:
    return name, name.replace("-", "_"), name.replace("-", "")


_PATTERN = re.compile(
    "|".join(rf"(?<![a-z]){spelling}(?![a-z])" for name in _NAMES for spelling in _spellings(name))
)


def _words(source: str) -> Iterator[str]:
    """Yield all names and texts of a module but its docstrings."""
    tree = ast.parse(source)
    docs = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in docs:
            yield node.value
        for field in ("id", "attr", "name", "arg"):
            value = getattr(node, field, None)
            if isinstance(value, str):
                yield value


def _found(root: Path) -> list[str]:
    """Return each place below a folder of sources that holds a site's name."""
    places = []
    for path in sorted(root.rglob("*")):
        if not path.is_file() or "__pycache__" in path.parts:
            continue
        text = path.read_text(errors="replace")
        words = _words(text) if path.suffix == ".py" else text.splitlines()
        places += [f"{path.name}: {word}" for word in words if _PATTERN.search(word.lower())]
    return places


class NoFitting(unittest.TestCase):
    def test_the_product_holds_no_name_of_a_site(self) -> None:
        for folder in _PRODUCT:
            with self.subTest(folder=folder):
                self.assertEqual(_found(_ROOT / folder), [])

    def test_names_are_found_in_code_and_settings_but_not_in_docstrings(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            (root / "a.py").write_text(
                '"""Measured on cymoedd-rounds."""\nMILK_PAYOUT = 3\nwhere = {"Bangor-hall": 1}\n'
            )
            (root / "b.toml").write_text('service = "ratebook"\n')
            expected = ["a.py: MILK_PAYOUT", "a.py: Bangor-hall", 'b.toml: service = "ratebook"']
            self.assertEqual(sorted(_found(root)), sorted(expected))


if __name__ == "__main__":
    unittest.main()
