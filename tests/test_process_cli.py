import asyncio
import json
import sys
import tempfile
from pathlib import Path

from tests.processes import CALLER, FleetCase
from tools.fleet import TOKEN

BAD_PROGRAM = "def shares(snapshot):\n    while True:\n        pass\n"
GOOD_PROGRAM = "def shares(snapshot):\n    return {snapshot['client_region']: 1}\n"


class CommandLine(FleetCase):
    async def command(self, *words: str, token: str = TOKEN, vm: str | None = None):
        """Run the command line; returns exit status, output and errors."""
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "sprucewinch.cli", *words),
            env={
                "PYTHONPATH": str(Path.cwd()),
                "SPRUCEWINCH_VM": vm or self.vm(0).operators,
                "SPRUCEWINCH_TOKEN": token,
                "HOME": "/tmp",
                "USER": "eva",
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode, out.decode(), err.decode()

    async def works(self, *words: str) -> str:
        status, out, err = await self.command(*words)
        self.assertEqual((status, err), (0, ""), words)
        return out

    async def fails(self, status: int, words: str, *command: str, **options: str) -> None:
        found, out, err = await self.command(*command, **options)
        self.assertEqual((found, out), (status, ""), err)
        self.assertIn(words, err)
        self.assertEqual(err.count("\n"), 1, err)

    async def test_as_an_operator_would(self) -> None:
        folder = Path(tempfile.mkdtemp())
        good, bad = folder / "good.txt", folder / "bad.txt"
        good.write_text(GOOD_PROGRAM)
        bad.write_text(BAD_PROGRAM)
        with self.subTest("status"):
            status = json.loads(await self.works("status", "--json"))
            self.assertEqual([row["lags"] for row in status["vms"]], [False, False])
            self.assertIn("hall-1-vm1", await self.works("status"))
        with self.subTest("configuration"):
            shown = await self.works("config", "show")
            file = folder / "shown.toml"
            file.write_text(shown.replace("ttl_ms = 300", "ttl_ms = 400"))
            self.assertIn("valid: True", await self.works("config", "validate", str(file)))
            self.assertIn("revision: 2", await self.works("config", "apply", str(file)))
            await self.fails(3, "2 eva apply", "config", "apply", str(file))
            file.write_text(shown.replace("ttl_ms", "ttl"))
            await self.fails(2, "lookup.ttl: unknown key", "config", "apply", str(file))
            await self.fails(2, "No such file", "config", "apply", "/none.toml")
        with self.subTest("policies"):
            await self.fails(2, "While is not allowed", "policy", "load", "mine", str(bad))
            await self.works("policy", "load", "mine", str(good))
            await self.works("policy", "replace", "mine", str(good))
            await self.fails(3, "no loaded policy", "policy", "replace", "other", str(good))
            await self.works("policy", "use", "rates", "mine")
            self.assertIn("mine", await self.works("policy", "list"))
            await self.fails(2, "in use by rates", "policy", "retire", "mine")
            await self.works("policy", "use", "rates", "nearest")
            await self.works("policy", "retire", "mine")
            compared = json.loads(await self.works("policy", "compare", "rates", "--json"))
            self.assertEqual(len(compared), 5 * 2)
        with self.subTest("drains"):
            server = self.pool("hall-1", "rates")
            await self.works("drain", "server", server)
            status = json.loads(await self.works("status", "--json"))
            self.assertEqual(status["drains"][0]["thing"], f"server:{server}")
            await self.fails(2, "draining already", "drain", "server", server)
            await self.works("undrain", "server", server)
            await self.fails(2, "no kind", "drain", "rack", "7")
        with self.subTest("measures, audit and explanations"):
            self.assertIn("latency", await self.works("measures"))
            records = json.loads(await self.works("audit", "--json"))
            self.assertEqual([r["revision"] for r in records], list(range(1, len(records) + 1)))
            self.assertEqual(records[1]["operator"], "eva")
            operation = records[1]["operation"]
            found = json.loads(await self.works("audit", "--operation", operation, "--json"))
            self.assertEqual(found, records[1:2])
            nothing = await self.works("audit", "--operation", "1e5", "--json")
            self.assertEqual(json.loads(nothing), [])
            explained = json.loads(await self.works("explain", CALLER, "rates", "--json"))
            self.assertEqual(explained["region"], "region-1")
        with self.subTest("no way in, and nobody there"):
            await self.fails(4, "no valid token", "status", token="wrong-token-of-sixteen")
            await self.fails(4, "does not answer", "status", vm="127.0.0.1:1")
            await self.fails(4, "is no address", "status", vm="somewhere")
