"""Configurations and settings are decoded and checked; errors name the file, key and remedy."""

import tempfile
import unittest
from pathlib import Path

from sprucewinch.config.configuration import Document
from sprucewinch.config.loading import (
    decode_document,
    encode_document,
    load_configuration,
    parse_configuration,
)
from sprucewinch.config.settings import load_settings
from sprucewinch.errors import ConfigurationError, SettingsError
from tests.fakes import example


def write(text: str) -> Path:
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
        file.write(text)
    return Path(file.name)


class Examples(unittest.TestCase):
    def test_the_examples_have_the_expected_sizes(self) -> None:
        for name, sizes in (("freight", [20, 13, 12]), ("kovacs", [20, 12, 12])):
            configuration = load_configuration(Path(f"examples/{name}.toml"))
            servers = [
                sum(len(p.servers) for p in configuration.pool if p.service == service.name)
                for service in configuration.service
            ]
            self.assertEqual(servers, sizes)
            self.assertEqual(len(configuration.region), 3)
            self.assertEqual(len(configuration.hall), 6)

    def test_document_survives_its_encoding(self) -> None:
        document = Document(3, example(), drained=("hall:van-1",))
        self.assertEqual(decode_document(encode_document(document)), document)

    def test_a_truncated_document_is_refused(self) -> None:
        value = encode_document(Document(3, example()))
        for cut in (0, 1, len(value) // 2, len(value) - 1):
            with self.subTest(cut), self.assertRaises(ConfigurationError):
                decode_document(value[:cut])


class BadConfigurations(unittest.TestCase):
    changes = {
        "unknown key": ("cap = 0.2", "kap = 0.2", "shift.kap"),
        "wrong type": ("cap = 0.2", 'cap = "lots"', "shift.cap"),
        "out of range": ("cap = 0.2", "cap = 2", "shift.cap"),
        "not finite": ("cap = 0.2", "cap = nan", "shift.cap"),
        "unknown region": ('region = "island"', 'region = "iland"', "hall[4].region"),
        "unknown hall": ('hall = "vic-2"', 'hall = "vic-3"', "pool"),
        "overlap": ("10.2.0.0/16", "10.1.128.0/17", "region.clients"),
        "no block": ("10.2.0.0/16", "10.2.0.0/99", "region[1].clients"),
        "host name": ("127.0.1.1:8000", "server-1:8000", "pool[0].servers"),
        "twice": ("127.0.1.2:8000", "127.0.1.1:8000", "pool[0].servers"),
        "syntax": ("[shift]", "[shift", "TOML"),
    }

    def test_one_line_names_file_key_and_remedy(self) -> None:
        text = Path("examples/freight.toml").read_text(encoding="utf-8")
        for name, (old, new, key) in self.changes.items():
            path = write(text.replace(old, new))
            with self.subTest(name), self.assertRaises(ConfigurationError) as caught:
                load_configuration(path)
            message = str(caught.exception)
            self.assertIn(str(path), message)
            self.assertIn(key, message)
            self.assertIn("; ", message)
            self.assertNotIn("\n", message)

    def test_service_without_servers(self) -> None:
        tables = {
            "name": "x",
            "region": [{"name": "r"}],
            "hall": [{"name": "h", "region": "r"}],
            "service": [{"name": "s", "repeatable": True}],
            "pool": [],
        }
        with self.assertRaises(ConfigurationError):
            parse_configuration(tables, "x")


class DaemonSettings(unittest.TestCase):
    good = """
vm = "a"
hall = "van-1"
region = "lower-mainland"
caller_address = "127.0.0.1:7001"
peer_address = "127.0.0.1:7002"
operators_address = "127.0.0.1:7003"
operators_token = "0123456789abcdef"
platform_address = "127.0.0.1:7004"
"""

    def test_good_settings(self) -> None:
        self.assertEqual(load_settings(write(self.good)).hall, "van-1")

    def test_bad_settings(self) -> None:
        for name, (old, new, key) in {
            "missing hall": ('hall = "van-1"\n', "", "hall: missing"),
            "unknown key": ('vm = "a"', 'vm = "a"\nvmm = 1', "vmm: unknown key; write one of: vm"),
            "wrong type": ('vm = "a"', "vm = 1", "vm"),
            "host name": ("127.0.0.1:7001", "localhost:7001", "caller_address"),
            "port": ("127.0.0.1:7001", "127.0.0.1:70010", "caller_address"),
            "same twice": ("127.0.0.1:7001", "127.0.0.1:7002", "two addresses"),
            "token": ("0123456789abcdef", "secret", "operators_token"),
            "limit": ('vm = "a"', 'vm = "a"\nlimits = {requests = 0}', "limits.requests"),
            "limit key": ('vm = "a"', 'vm = "a"\nlimits = {reqs = 1}', "limits.reqs: unknown key"),
            "log": ('vm = "a"', 'vm = "a"\nlog_format = "xml"', "log_format"),
        }.items():
            path = write(self.good.replace(old, new))
            with self.subTest(name), self.assertRaises(SettingsError) as caught:
                load_settings(path)
            message = str(caught.exception)
            self.assertIn(key, message)
            self.assertIn(str(path), message)
            self.assertNotIn("\n", message)

    def test_missing_file(self) -> None:
        with self.assertRaises(SettingsError):
            load_settings(Path("/nonexistent/settings.toml"))
