"""Names of the headers and cookies that callers, VMs and backend servers exchange.

Owns the list of names that a platform may choose; an adapter gives them. Relies on nothing.
"""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Names of headers and cookies on the wire; lower case.

    Args:
        request_id: Names one attempt of a caller; echoed in the answer.
        deadline_ms: What is left of the caller's time, in milliseconds.
        affinity: Cookie that names the object a request is about.
        expected: Backend server that alone may run the request.
        signature: Set by a backend server on each answer of its own.
        not_run: Set by a backend server that did not run the request.
        limit: Requests a second that a backend server takes from all VMs together.
        leaving: 1 when a backend server leaves.
        load: A backend server's load: running, waiting, slots.
        cold_ms: In answers to probes, how much longer a server is cold, in milliseconds.
        instance: In answers to probes, the server's id.
        api_key: A caller's API key; never passed on.
        workspace: Name of the caller's workspace, set on what goes to a backend server.
    """

    request_id: str = "sprucewinch-request-id"
    deadline_ms: str = "sprucewinch-deadline-ms"
    affinity: str = "sprucewinch-affinity"
    expected: str = "sprucewinch-expected"
    signature: str = "sprucewinch-signature"
    not_run: str = "sprucewinch-not-run"
    limit: str = "sprucewinch-limit"
    leaving: str = "sprucewinch-leaving"
    load: str = "sprucewinch-load"
    cold_ms: str = "sprucewinch-cold-ms"
    instance: str = "sprucewinch-instance"
    api_key: str = "sprucewinch-api-key"
    workspace: str = "sprucewinch-workspace"
