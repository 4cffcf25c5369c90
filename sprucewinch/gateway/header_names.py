"""Names of the headers and cookies that callers, VMs and backend servers exchange.

Owns the set of names that a platform may choose; a platform's adapter supplies them. Relies on
nothing.
"""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Names of headers and cookies on the wire, in lower case.

    Args:
        request_id: Identifies one attempt of a caller; echoed in the answer.
        deadline_ms: Time left until the caller's deadline, in milliseconds.
        affinity: Cookie that identifies the object that a request concerns.
        expected: The only backend server that may run the request.
        signature: Set by a backend server on each of its own answers.
        not_run: Set by a backend server that did not run the request.
        limit: Requests a second that a backend server accepts from all VMs together.
        leaving: 1 if a backend server is about to leave.
        load: Load of a backend server: requests running and waiting, and slots.
        cold_ms: In answers to probes, the time for which the server stays cold, in milliseconds.
        instance: In answers to probes, the id of the server.
        api_key: The caller's API key; never forwarded.
        workspace: Name of the caller's workspace, set on requests to backend servers.
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
