"""The command line `sprucewinch` for operators.

The module owns the names of commands and arguments, and the exit status of errors. Each public
method is a command: `fire` derives the arguments from the signature and the help text from the
docstring. `operators.client` sends requests to a VM and `operators._printer` prints the responses;
`config validate`, `policy check` and `story` need no VM.
"""

import os
import sys
from pathlib import Path
from typing import Any, Optional
from urllib.parse import quote, urlencode

import fire
from fire.decorators import SetParseFn, SetParseFns

from .config.loading import load_configuration
from .errors import ConfigurationError, ConflictError, PolicyError, SprucewinchError
from .operators._base_revision import read_base_revision
from .operators._printer import Printer
from .operators.client import OperatorClient, read_state
from .operators.report import element_counts
from .operators.request_trace import read_request_trace
from .steering.policy import check_program


class _Group:
    """Base of command groups, which share the root's client and printer.

    Attribute names start with an underscore, since `fire` offers every public one as a command.
    """

    def __init__(self, root: "Sprucewinch") -> None:
        self._root = root

    @property
    def _client(self) -> OperatorClient:
        return self._root._client()

    @property
    def _print(self) -> Printer:
        return self._root._printer


class ConfigCommands(_Group):
    """Validate, show, apply and restore the configuration."""

    @SetParseFn(str)
    def validate(self, path: str) -> None:
        """Validate a configuration file without applying it."""
        configuration = load_configuration(Path(path))
        self._print.record(
            {"valid": True, "name": configuration.name, **element_counts(configuration)}
        )

    def show(self) -> None:
        """Print the configuration in force as TOML, with its revision as a comment."""
        self._print.configuration(self._client.get("/v1/configuration"))

    @SetParseFns(path=str)
    def apply(self, path: str, base: Optional[int] = None) -> None:
        """Apply a configuration file.

        Args:
            path: A TOML file; one printed by `config show` has its base revision in a comment.
            base: Revision that the file was edited from; by default the one in the file.
        """
        file_path = Path(path)
        load_configuration(file_path)
        base_revision = read_base_revision(file_path) if base is None else base
        configuration_tables = _read_toml_tables(file_path)
        body = {"configuration": configuration_tables, "base": base_revision, "source": path}
        self._print.record(self._client.call("POST", "/v1/configuration", body))

    def restore(self) -> None:
        """Write the configuration in force over an older one on the platform."""
        self._print.record(self._client.call("POST", "/v1/restore"))


class PolicyCommands(_Group):
    """Load, replace, retire, list, use and compare policies."""

    @SetParseFn(str)
    def check(self, path: str) -> None:
        """Check a policy program without loading it."""
        check_program(Path(path).stem, _read_program(path), ("region-1", "region-2", "region-3"))
        self._print.record({"valid": True, "policy": Path(path).stem})

    @SetParseFn(str)
    def load(self, name: str, path: str) -> None:
        """Load a policy program, or replace the loaded one of this name."""
        self._print.record(
            self._client.call("PUT", f"/v1/policies/{quote(name)}", {"source": _read_program(path)})
        )

    @SetParseFn(str)
    def replace(self, name: str, path: str) -> None:
        """Replace a loaded policy program; fail when none of this name is loaded."""
        rows = self._client.get("/v1/policies")["policies"]
        if name not in {row["policy"] for row in rows if row["origin"] == "loaded"}:
            raise ConflictError(
                f"no loaded policy {name!r}", "load it with: sprucewinch policy load"
            )
        self.load(name, path)

    @SetParseFn(str)
    def retire(self, name: str) -> None:
        """Remove a loaded policy program."""
        self._print.record(self._client.call("DELETE", f"/v1/policies/{quote(name)}"))

    def list(self) -> None:
        """List all policies and the services that use them."""
        self._print.rows(self._client.get("/v1/policies")["policies"], "policies")

    @SetParseFn(str)
    def use(self, service: str, policy: str) -> None:
        """Assign a policy to a service."""
        path = f"/v1/services/{quote(service)}/policy"
        self._print.record(self._client.call("PUT", path, {"policy": policy}))

    @SetParseFn(str)
    def compare(self, service: str, *policies: str) -> None:
        """Show the shares that policies want and would be granted now."""
        query = urlencode({"service": service, "policies": ",".join(policies)})
        self._print.rows(self._client.get(f"/v1/compare?{query}")["rows"], "compared")


@SetParseFns(vm=str, token=str, operator=str)
class Sprucewinch:
    """Operate a fleet of entry VMs.

    Exit status: 0 success; 1 fault; 2 invalid input; 3 conflict with another change; 4 the daemon
    or the platform does not answer; 5 a change may or may not have been made.

    Args:
        vm: `IP:PORT` of any entry VM's operators' port; `SPRUCEWINCH_VM` by default.
        token: The operators' token; `SPRUCEWINCH_TOKEN` by default.
        operator: Name for the audit trail; the login name by default.
        json: Print JSON instead of tables.
    """

    def __init__(
        self,
        vm: Optional[str] = None,
        token: Optional[str] = None,
        operator: Optional[str] = None,
        json: bool = False,
    ) -> None:
        self._vm = vm or os.environ.get("SPRUCEWINCH_VM", "")
        self._token = token or os.environ.get("SPRUCEWINCH_TOKEN", "")
        self._operator = operator
        self._printer = Printer(as_json=json)
        self.config = ConfigCommands(self)
        self.policy = PolicyCommands(self)

    def _client(self) -> OperatorClient:
        return OperatorClient(self._vm, self._token, operator=self._operator)

    def status(self) -> None:
        """Show every entry VM, whether its configuration lags, and what holds up drains."""
        answer = self._client().get("/v1/status")
        self._printer.sections(answer, {"vms": "entry VMs", "drains": "drains"})

    @SetParseFn(str)
    def drain(self, kind: str, name: str) -> None:
        """Drain a backend server, data hall or region.

        Args:
            kind: `server`, `hall` or `region`.
            name: Address of the server, or name of the hall or region.
        """
        self._printer.record(self._client().call("PUT", f"/v1/drains/{kind}/{quote(name)}"))

    @SetParseFn(str)
    def undrain(self, kind: str, name: str) -> None:
        """End the drain of a backend server, data hall or region."""
        self._printer.record(self._client().call("DELETE", f"/v1/drains/{kind}/{quote(name)}"))

    def measures(self, all_vms: bool = True) -> None:
        """Show latency, headroom, drain times and refusals by service, hall and policy."""
        from .hall.metrics import merge_reports

        client = self._client()
        reports = [client.get("/v1/metrics")]
        if all_vms:
            reports += self._metrics_of_other_vms(client)
        merged = merge_reports(reports)
        titles = {name: name.replace("_", " ") for name in merged if name != "counters"}
        self._printer.sections(merged, titles)

    def _metrics_of_other_vms(self, client: OperatorClient) -> list[dict[str, Any]]:
        reports = []
        status = client.get("/v1/status")
        for row in status["vms"]:
            if row["vm"] == status["asked"] or row["state"] == "gone":
                continue
            other_client = OperatorClient(row["operators_address"], client.token)
            try:
                reports.append(other_client.get("/v1/metrics"))
            except SprucewinchError as error:
                print(f"{row['vm']}: {error.problem}; left out", file=sys.stderr)
        return reports

    @SetParseFns(operation=str)
    def audit(
        self,
        operation: Optional[str] = None,
        all: bool = False,  # noqa: A002  the command line's flag is --all
    ) -> None:
        """Show the audit trail.

        Args:
            operation: Show only the record of this operation.
            all: Include archived records.
        """
        records = self._client().get(f"/v1/audit{'?all=1' if all else ''}")["audit"]
        if operation is not None:
            records = [record for record in records if record["operation"] == str(operation)]
        self._printer.rows(records, "audit trail")

    @SetParseFn(str)
    def machine(self, address: str) -> None:
        """Show the state of a VM of the routed request path.

        Args:
            address: `IP:PORT` of its metrics listener.
        """
        answer = read_state(address)
        titles = {
            "services": "services",
            "backend_servers": "backend servers",
            "quarantined": "requests refused for crashing servers",
            "workspaces": "workspaces with a limit",
            "statements": "servers that limit themselves, leave or rest",
            "kinds": "what kinds of requests ask for, and what is sent",
        }
        self._printer.sections(answer, titles)

    @SetParseFn(str)
    def story(self, request_id: str, *logs: str) -> None:
        """Show the trace of a request of the routed request path, from logs alone.

        Args:
            request_id: Id of the request, or an unambiguous prefix of it.
            logs: Log files of the VMs that may have received it.
        """
        trace = read_request_trace(logs, request_id)
        values = {"request": trace.request_id, "meaning": trace.meaning, "rule": trace.rule}
        self._printer.record_with_lines(values, trace.lines)

    @SetParseFn(str)
    def explain(self, block: str, service: str) -> None:
        """Show where a client block is sent for a service, and why."""
        query = urlencode({"block": block, "service": service})
        answer = self._client().get(f"/v1/explain?{query}")
        self._printer.sections(answer, {"regions": "regions"})


def _read_program(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise PolicyError(
            f"{path}: {error.strerror}", "give the path of a policy program"
        ) from None
    except UnicodeDecodeError:
        raise PolicyError(f"{path}: not UTF-8 text", "save the program as UTF-8") from None


def _read_toml_tables(path: Path) -> dict[str, Any]:
    from .config.toml_decode import read_toml

    return read_toml(path, ConfigurationError)


def main() -> None:
    """Entry point of `sprucewinch`."""
    try:
        fire.Fire(Sprucewinch, name="sprucewinch")
    except SprucewinchError as error:
        print(f"sprucewinch: {error}", file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
